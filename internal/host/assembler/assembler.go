// Package assembler builds an entry host from its settings.
package assembler

import (
	"context"
	"crypto/rand"
	"io"
	"math"
	mathrand "math/rand/v2"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/admin/handler"
	"github.com/cuminwick/cuminwick/internal/backend/commander"
	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/caller/authenticator"
	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	file "github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/follower"
	"github.com/cuminwick/cuminwick/internal/config/sharer"
	"github.com/cuminwick/cuminwick/internal/host/runner"
	"github.com/cuminwick/cuminwick/internal/log/encoder"
	"github.com/cuminwick/cuminwick/internal/peer/listener"
	"github.com/cuminwick/cuminwick/internal/platform/requester"
	"github.com/cuminwick/cuminwick/internal/platform/watcher"
	"github.com/cuminwick/cuminwick/internal/session/signer"
	"github.com/cuminwick/cuminwick/internal/settings/declarer"
)

// Assembler builds and runs an entry host. Settings and LogOutput are set before Assemble, which is
// called before Run.
type Assembler struct {
	Settings declarer.Settings
	// LogOutput receives the log lines.
	LogOutput io.Writer

	// Host is the entry host. Assemble sets it.
	Host *runner.Host
	// Follower provides the configuration in force to the host. Assemble sets it.
	Follower *follower.Host
	// LogEncoder writes the log lines. Assemble sets it. Run runs it until after the host has
	// ended.
	LogEncoder *encoder.Encoder

	log      log.Interface
	platform *requester.Client
	clock    *scheduler.Scheduler
	watcher  *watcher.Watcher
	sharer   *sharer.Sharer
}

// Assemble builds the host and opens its listeners.
func (a *Assembler) Assemble() error {
	a.LogEncoder = newLogEncoder(a.Settings.Log, a.LogOutput)
	l, err := log.ParseLevel(string(a.Settings.Log.Level))
	if err != nil {
		return errors.Annotate(err, "set log level")
	}
	a.log = &log.Logger{Handler: a.LogEncoder, Level: l}
	m, err := newSigner(a.Settings)
	if err != nil {
		return err
	}
	if err := a.createPlatformClient(); err != nil {
		return err
	}
	a.clock = new(scheduler.Scheduler)
	a.createFollower()
	a.Host = &runner.Host{
		Settings:   a.Settings,
		Platform:   a.platform,
		Source:     a.Follower,
		Control:    a.newControl,
		Marks:      m,
		LogEncoder: a.LogEncoder,
		Clock:      a.clock,
		Log:        a.log,
		Gossip:     true,
		Routes:     []listener.Route{a.sharer.Route()},
		Components: []runner.Component{a.watcher, a.sharer},
	}
	if err := a.setUpAuthentication(); err != nil {
		return err
	}
	if err := a.Host.Listen(); err != nil {
		return err
	}
	a.sharer.Ask = sharer.AskThrough(a.Host.PeerDialer())
	return nil
}

func newLogEncoder(s declarer.Log, w io.Writer) *encoder.Encoder {
	return &encoder.Encoder{
		Writer:          w,
		QueueBytes:      s.QueueBytes,
		SampleDebug:     s.SampleDebug,
		SampleDecisions: s.SampleDecisions,
	}
}

// newSigner creates the signer of session marks. The id of a key on the wire is a hash of its name,
// so two keys whose names have the same hash can't be distinguished. They are an error.
func newSigner(s declarer.Settings) (*signer.Signer, error) {
	m := &signer.Signer{Deployment: s.DeploymentID}
	for _, k := range s.MarkKeys {
		i := uint32(xxhash.Sum64String(k.ID) & math.MaxUint32)
		for _, o := range m.Keys {
			if o.ID == i {
				return nil, errors.Errorf("mark key %q: another key has this id or one of the same hash", k.ID)
			}
		}
		m.Keys = append(m.Keys, signer.Key{ID: i, Secret: k.Key})
	}
	return m, nil
}

// createPlatformClient creates the platform client and reads its token.
func (a *Assembler) createPlatformClient() error {
	p := a.Settings.Platform
	a.platform = &requester.Client{Address: p.Address, Timeout: p.Timeout, OnInvalid: func(err error) { a.log.WithError(err).Warn("host list has invalid entries") }}
	if p.TokenFile == "" {
		return nil
	}
	b, err := os.ReadFile(p.TokenFile)
	if err != nil {
		return errors.Annotate(err, "read platform token")
	}
	a.platform.Token = strings.TrimSpace(string(b))
	return nil
}

// createFollower creates the components that get the configuration from the platform, by one shared
// watch, or from peers.
func (a *Assembler) createFollower() {
	a.watcher = &watcher.Watcher{Platform: a.platform, Random: mathrand.Float64, Clock: a.clock, Log: a.log}
	a.sharer = &sharer.Sharer{Peers: a.livePeers, ZoneHosts: a.reachableZoneHosts, Random: mathrand.Float64, Clock: a.clock, Log: a.log}
	a.Follower = &follower.Host{
		DeferredActivation: true,
		Name:               a.Settings.HostName,
		Incarnation:        strconv.FormatUint(a.Settings.Incarnation, 10),
		AvailabilityZone:   a.Settings.AvailabilityZone,
		Platform:           a.platform,
		Watcher:            a.watcher,
		Peers:              a.sharer,
		Relays:             a.sharer,
		Random:             mathrand.Float64,
		Clock:              a.clock,
		Log:                a.log,
	}
	a.sharer.Host = a.Follower
}

// newControl creates the client for control calls to a backend server.
func (a *Assembler) newControl(group string, b file.BackendServer) controller.Control {
	return &commander.Client{
		Name:     b.Name,
		Address:  b.Address,
		User:     a.Settings.Backend.User,
		Password: a.Settings.Backend.Password,
		Database: group,
	}
}

// secretBytes is the size of the secret from which verifiers for unknown roles are derived, so that
// callers can't distinguish logins of unknown roles from others.
const secretBytes = 32

// setUpAuthentication sets up the authentication of callers, operators and peers.
func (a *Assembler) setUpAuthentication() error {
	k := make([]byte, secretBytes)
	if _, err := rand.Read(k); err != nil {
		return errors.Annotate(err, "make secret")
	}
	f := &authenticator.FailureLimiter{PerMinute: a.Settings.Limits.FailedLogins}
	a.Host.Authenticator = &callerAuthenticator{
		configuration: a.Follower,
		authenticator: authenticator.Authenticator{Failures: f, Secret: k},
	}
	a.Host.Administration = &handler.Handler{
		Platform:   a.platform,
		TokensFile: a.Settings.Administration.TokensFile,
		Status:     a.Follower.Status,
		Host:       a.Host,
		Failures:   &authenticator.FailureLimiter{PerMinute: a.Settings.Limits.FailedLogins},
		Log:        a.log,
	}
	return a.loadCertificates()
}

// Run runs the host until ctx ends or, after drain is closed, until no request is in progress. It
// returns the error of the host, or that of the log output if the host has none.
func (a *Assembler) Run(ctx context.Context, drain <-chan struct{}) error {
	x, stop := context.WithCancel(context.WithoutCancel(ctx))
	w := &logWriter{lines: a.LogEncoder, ended: make(chan error, 1)}
	go w.run(x)
	a.log.WithFields(log.Fields{
		"host":           a.Settings.HostName,
		"callers":        a.Host.Address(),
		"peers":          a.Host.PeerAddress(),
		"administration": a.Host.AdministrationAddress(),
	}).Info("entry host started")
	err := a.Host.Run(ctx, drain)
	if err != nil {
		encoder.LogError(a.log, err, "entry host failed")
	}
	stop()
	if e := <-w.ended; err == nil {
		err = e
	}
	return err
}

// logWriter runs the log encoder and sends its error to ended.
type logWriter struct {
	lines *encoder.Encoder
	ended chan error
}

func (w *logWriter) run(ctx context.Context) {
	w.ended <- w.lines.Run(ctx)
}

// reloadInterval is the time between two reads of the certificate files.
const reloadInterval = 30 * time.Second
