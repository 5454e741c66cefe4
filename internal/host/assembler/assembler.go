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

// Assembler holds what an entry host is built from.
type Assembler struct {
	Settings declarer.Settings
	// LogOutput gets the log lines.
	LogOutput io.Writer

	// Host is filled in by Assemble.
	Host *runner.Host
	// Follower keeps the host at the configuration in force.
	Follower *follower.Host
	// LogEncoder writes the log lines; it must run beside the host and outlast it.
	LogEncoder *encoder.Encoder

	log      log.Interface
	platform *requester.Client
	clock    *scheduler.Scheduler
	watcher  *watcher.Watcher
	sharer   *sharer.Sharer
}

// Assemble builds the host and opens its addresses.
func (a *Assembler) Assemble() error {
	a.LogEncoder = lines(a.Settings.Log, a.LogOutput)
	l, err := log.ParseLevel(string(a.Settings.Log.Level))
	if err != nil {
		return errors.Annotate(err, "set log level")
	}
	a.log = &log.Logger{Handler: a.LogEncoder, Level: l}
	m, err := marks(a.Settings)
	if err != nil {
		return err
	}
	if err := a.usePlatform(); err != nil {
		return err
	}
	a.clock = new(scheduler.Scheduler)
	a.follow()
	a.Host = &runner.Host{
		Settings:   a.Settings,
		Platform:   a.platform,
		Source:     a.Follower,
		Control:    a.control,
		Marks:      m,
		LogEncoder: a.LogEncoder,
		Clock:      a.clock,
		Log:        a.log,
		Gossip:     true,
		Routes:     []listener.Route{a.sharer.Route()},
		Components: []runner.Component{a.watcher, a.sharer},
	}
	if err := a.secure(); err != nil {
		return err
	}
	if err := a.Host.Listen(); err != nil {
		return err
	}
	a.sharer.Ask = sharer.AskThrough(a.Host.PeerDialer())
	return nil
}

func lines(s declarer.Log, w io.Writer) *encoder.Encoder {
	return &encoder.Encoder{
		Writer:          w,
		QueueBytes:      s.QueueBytes,
		SampleDebug:     s.SampleDebug,
		SampleDecisions: s.SampleDecisions,
	}
}

// marks makes what signs session marks. A key's id on the wire is a hash of
// its name; two names of one hash can't be told apart and are refused.
func marks(s declarer.Settings) (*signer.Signer, error) {
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

func (a *Assembler) usePlatform() error {
	p := a.Settings.Platform
	a.platform = &requester.Client{Address: p.Address, Timeout: p.Timeout}
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

// follow sets up how the host gets the configuration: from the platform by one
// shared watch, or from peers.
func (a *Assembler) follow() {
	a.watcher = &watcher.Watcher{Platform: a.platform, Random: mathrand.Float64, Clock: a.clock, Log: a.log}
	a.sharer = &sharer.Sharer{Peers: a.peers, ZoneHosts: a.zone, Random: mathrand.Float64, Clock: a.clock, Log: a.log}
	a.Follower = &follower.Host{
		Deferred:         true,
		Name:             a.Settings.HostName,
		Incarnation:      strconv.FormatUint(a.Settings.Incarnation, 10),
		AvailabilityZone: a.Settings.AvailabilityZone,
		Platform:         a.platform,
		Watcher:          a.watcher,
		Peers:            a.sharer,
		Relays:           a.sharer,
		Random:           mathrand.Float64,
		Clock:            a.clock,
		Log:              a.log,
	}
	a.sharer.Host = a.Follower
}

// control makes the control side of a backend server.
func (a *Assembler) control(group string, b file.BackendServer) controller.Control {
	return &commander.Client{
		Name:     b.Name,
		Address:  b.Address,
		User:     a.Settings.Backend.User,
		Password: a.Settings.Backend.Password,
		Database: group,
	}
}

// secretBytes is the size of the secret by which logins of unknown roles look
// like others.
const secretBytes = 32

// secure sets up who may come in.
func (a *Assembler) secure() error {
	k := make([]byte, secretBytes)
	if _, err := rand.Read(k); err != nil {
		return errors.Annotate(err, "make secret")
	}
	f := &authenticator.FailureLimiter{PerMinute: a.Settings.Limits.FailedLogins}
	a.Host.Authenticator = &gatekeeper{
		source:        a.Follower,
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
	return a.secureListeners()
}

// Run runs the host until ctx ends or, after drain is closed, until nothing is
// in progress.
func (a *Assembler) Run(ctx context.Context, drain <-chan struct{}) error {
	x, stop := context.WithCancel(context.WithoutCancel(ctx))
	w := &writer{lines: a.LogEncoder, ended: make(chan error, 1)}
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

// writer writes the log lines until the host has ended.
type writer struct {
	lines *encoder.Encoder
	ended chan error
}

func (w *writer) run(ctx context.Context) {
	w.ended <- w.lines.Run(ctx)
}

// reloadInterval is the time between looks at certificate files.
const reloadInterval = 30 * time.Second
