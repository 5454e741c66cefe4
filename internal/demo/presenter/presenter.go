// Package presenter runs the demo: a platform stand-in, one database group of three backend
// servers and three entry hosts in one process.
package presenter

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	file "github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/demo/tourist"
	"github.com/cuminwick/cuminwick/internal/host/deployer"
	"github.com/cuminwick/cuminwick/internal/log/encoder"
	"github.com/cuminwick/cuminwick/internal/session/signer"
	"github.com/cuminwick/cuminwick/internal/standin/storekeeper"
)

// database names the demo's database group, its service and the database that callers open.
const database = "demo"

// markKeyBytes is the size of the random key that signs session marks.
const markKeyBytes = 32

// logQueueBytes is the maximum size of the queue of log lines that are not written yet.
const logQueueBytes = 4 << 20

// serverTemplate sizes the demo's backend servers as in the smaller deployment.
var serverTemplate = deployer.ServerTemplate{
	Slots:       3,
	Connections: 40,
	ConnectTime: 10 * time.Millisecond,
}

// Presenter runs one demo deployment. The exported fields are set before Run.
type Presenter struct {
	// Output receives one result line per step of the tour, or the addresses if KeepRunning
	// is set.
	Output io.Writer
	// LogOutput receives the log lines of all entry hosts.
	LogOutput io.Writer
	// KeepRunning serves until the context of Run ends instead of running the tour.
	KeepRunning bool

	deployment *deployer.Deployment
}

// Run starts the deployment, runs the tour or serves until ctx ends, and stops the deployment.
// It returns the first error of these steps or of the log writer.
func (p *Presenter) Run(ctx context.Context) error {
	e := &encoder.Encoder{Writer: p.LogOutput, QueueBytes: logQueueBytes, SampleDebug: 1, SampleDecisions: 1}
	x, stop := context.WithCancel(ctx)
	defer stop()
	w := &logWriter{encoder: e, done: make(chan error, 1)}
	go w.run(x)
	if err := p.start(ctx, e); err != nil {
		return err
	}
	err := p.tourOrServe(ctx)
	if e := p.deployment.Stop(); err == nil {
		err = e
	}
	stop()
	if e := <-w.done; err == nil && !errors.Is(e, context.Canceled) {
		err = e
	}
	return err
}

// logWriter runs the log encoder in a goroutine of its own.
type logWriter struct {
	encoder *encoder.Encoder
	// done receives the error with which the encoder ended.
	done chan error
}

func (l *logWriter) run(ctx context.Context) {
	l.done <- l.encoder.Run(ctx)
}

// start starts the deployment, which logs to e.
func (p *Presenter) start(ctx context.Context, e *encoder.Encoder) error {
	k := make([]byte, markKeyBytes)
	if _, err := rand.Read(k); err != nil {
		return errors.Annotate(err, "make mark key")
	}
	p.deployment = &deployer.Deployment{
		Places: []deployer.Place{
			{AvailabilityZone: "zone-a", Region: "region-1"},
			{AvailabilityZone: "zone-b", Region: "region-1"},
			{AvailabilityZone: "zone-c", Region: "region-2"},
		},
		HostsPerPlace: 1,
		Groups:        []string{database},
		Service:       database,
		Server:        serverTemplate,
		Platform:      new(storekeeper.Store),
		Marks:         &signer.Signer{Deployment: "demo", Keys: []signer.Key{{ID: 1, Secret: k}}},
		LogEncoder:    e,
		Log:           &log.Logger{Handler: e, Level: log.InfoLevel},
	}
	return p.deployment.Start(ctx)
}

// tourOrServe runs the tour, or prints the addresses and waits for the end of ctx if KeepRunning
// is set.
func (p *Presenter) tourOrServe(ctx context.Context) error {
	if !p.KeepRunning {
		t := &tourist.Tourist{Database: database, Environment: p, Output: p.Output}
		return t.Run(ctx)
	}
	for _, h := range p.deployment.Hosts {
		p.printf("entry host %s at %s, metrics at http://%s/metrics\n", h.Settings.HostName, h.Address(), h.AdministrationAddress())
	}
	p.printf("connect with: psql 'postgresql://demo@%s/%s?sslmode=disable'\nstop with Ctrl-C\n", p.deployment.Hosts[0].Address(), database)
	<-ctx.Done()
	return nil
}

func (p *Presenter) printf(format string, a ...any) {
	_, _ = fmt.Fprintf(p.Output, format, a...)
}

// Addresses implements tourist.Environment.
func (p *Presenter) Addresses() []string {
	var a []string
	for _, h := range p.deployment.Hosts {
		a = append(a, h.Address())
	}
	return a
}

// CrashPrimary implements tourist.Environment.
func (p *Presenter) CrashPrimary(ctx context.Context) error {
	v, err := p.deployment.Hosts[0].Director().Runtime().Groups[database].Driver.WaitPrimary(ctx)
	if err != nil {
		return err
	}
	for _, s := range p.deployment.Standins[database].Servers {
		if s.Name == v.Primary {
			s.Crash()
			return nil
		}
	}
	return errors.NotFoundf("backend server %s", v.Primary)
}

// Apply implements tourist.Environment. It adds a routing rule and checks that each entry host
// uses the new revision.
func (p *Presenter) Apply(ctx context.Context) error {
	f := *p.deployment.File
	f.RoutingRules = []file.RoutingRule{{Name: "reviews", Match: file.Match{Tag: "review"}, MaximumAge: reviewAge}}
	r, err := p.deployment.Apply(ctx, f)
	if err != nil {
		return err
	}
	for _, h := range p.deployment.Hosts {
		if n := h.Director().Runtime().Revision; n < uint64(r.Entry.Revision) {
			return errors.Errorf("entry host %s decides by revision %d, %d was said to be in force", h.Settings.HostName, n, r.Entry.Revision)
		}
	}
	return nil
}

// reviewAge is the maximum age of data that the routing rule of the tour allows.
const reviewAge = 5 * time.Second

// Drain implements tourist.Environment.
func (p *Presenter) Drain(_ context.Context, i int) error {
	p.deployment.Drain(i)
	return nil
}

// AwaitStopped implements tourist.Environment.
func (p *Presenter) AwaitStopped(ctx context.Context, i int) error {
	return p.deployment.AwaitStopped(ctx, i)
}
