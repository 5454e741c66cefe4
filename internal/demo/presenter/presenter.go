// Package presenter runs the demo: a platform stand-in, one database group of three backend servers and three entry hosts in one process.
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

// database is the demo's database group.
const database = "demo"

// markKeyBytes is the size of the demo's signing key.
const markKeyBytes = 32

// logQueueBytes bounds the log lines that wait to be written.
const logQueueBytes = 4 << 20

// Sizes of the demo's backend servers, those of the smaller deployment.
var pattern = deployer.ServerTemplate{
	Slots:       3,
	Connections: 40,
	ConnectTime: 10 * time.Millisecond,
}

// Presenter is one demo. The exported fields are set before Run.
type Presenter struct {
	// Output gets a line for each promise, or the addresses with Stay.
	Output io.Writer
	// LogOutput gets the log lines of all entry hosts.
	LogOutput io.Writer
	// KeepRunning waits for ctx to end instead of taking the tour.
	KeepRunning bool

	deployment *deployer.Deployment
}

// Run runs the demo until ctx ends or the tour is over.
func (p *Presenter) Run(ctx context.Context) error {
	e := &encoder.Encoder{Writer: p.LogOutput, QueueBytes: logQueueBytes, SampleDebug: 1, SampleDecisions: 1}
	x, stop := context.WithCancel(ctx)
	defer stop()
	w := &lines{encoder: e, done: make(chan error, 1)}
	go w.run(x)
	if err := p.start(ctx, e); err != nil {
		return err
	}
	err := p.present(ctx)
	if e := p.deployment.Stop(); err == nil {
		err = e
	}
	stop()
	if e := <-w.done; err == nil && !errors.Is(e, context.Canceled) {
		err = e
	}
	return err
}

// lines writes the log lines.
type lines struct {
	encoder *encoder.Encoder
	done    chan error
}

func (l *lines) run(ctx context.Context) {
	l.done <- l.encoder.Run(ctx)
}

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
		Server:        pattern,
		Platform:      new(storekeeper.Store),
		Marks:         &signer.Signer{Deployment: "demo", Keys: []signer.Key{{ID: 1, Secret: k}}},
		LogEncoder:    e,
		Log:           &log.Logger{Handler: e, Level: log.InfoLevel},
	}
	return p.deployment.Start(ctx)
}

func (p *Presenter) present(ctx context.Context) error {
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

// Addresses implements tourist.Surroundings.
func (p *Presenter) Addresses() []string {
	var a []string
	for _, h := range p.deployment.Hosts {
		a = append(a, h.Address())
	}
	return a
}

// CrashPrimary implements tourist.Surroundings.
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

// Apply implements tourist.Surroundings.
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

// reviewAge is how old the data of the rule may be that the tour applies.
const reviewAge = 5 * time.Second

// Drain implements tourist.Surroundings.
func (p *Presenter) Drain(_ context.Context, i int) error {
	p.deployment.Drain(i)
	return nil
}

// AwaitStopped implements tourist.Surroundings.
func (p *Presenter) AwaitStopped(ctx context.Context, i int) error {
	return p.deployment.AwaitStopped(ctx, i)
}
