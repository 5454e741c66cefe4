// Package assembler builds an entry host for the platform from its settings.
package assembler

import (
	"context"
	"io"
	"net"
	"runtime/debug"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/steady"
	"github.com/cuminwick/cuminwick/internal/log/encoder"
	"github.com/cuminwick/cuminwick/internal/metric/server"
	"github.com/cuminwick/cuminwick/internal/pool/appraiser"
	"github.com/cuminwick/cuminwick/internal/proxy/blackboard"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/executor"
	"github.com/cuminwick/cuminwick/internal/proxy/lender"
	"github.com/cuminwick/cuminwick/internal/proxy/matcher"
	"github.com/cuminwick/cuminwick/internal/proxy/relayer"
	"github.com/cuminwick/cuminwick/internal/proxy/reporter"
	"github.com/cuminwick/cuminwick/internal/proxy/runner"
	"github.com/cuminwick/cuminwick/platform"
)

const (
	// sample is the reciprocal of the fraction of succeeded statements that is logged. Logging
	// takes processor time from serving.
	sample = 100
	// queueBytes bounds the log lines that wait to be written, in bytes.
	queueBytes = 256 << 10
	// memoryLimitTenths is the fraction of the process's memory, in tenths, that is set as the
	// memory limit of the Go runtime. The collector runs more often near the limit.
	memoryLimitTenths = 7
)

// Assembler runs an entry host. Its fields are set before Run.
type Assembler struct {
	Settings  platform.Settings
	LogOutput io.Writer
	// Reload, if not nil, requests that the settings be read again with Load. They are also read
	// at regular intervals.
	Reload <-chan struct{}
	Load   func() (platform.Settings, error)

	store   *platform.Store
	feeds   *platform.FeedClient
	invalid *reporter.InvalidObjects
	// fences holds whether the platform checks fences, as read last.
	fences atomic.Bool
	// sent is called with each answer to another host.
	sent func(declarer.Transfer)
}

// Run serves until drain is closed and the host has drained.
func (a *Assembler) Run(ctx context.Context, drain <-chan struct{}) error {
	limitMemory(a.Settings)
	e := &encoder.Encoder{Writer: a.LogOutput, QueueBytes: queueBytes}
	c, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go (&logWriter{encoder: e, done: done}).run(c)
	err := a.serve(ctx, drain, e)
	stop()
	<-done
	return err
}

// serve runs the host and its metrics server.
func (a *Assembler) serve(ctx context.Context, drain <-chan struct{}, e *encoder.Encoder) error {
	h := a.newHost(e)
	m := reporter.NewMetrics(reporter.Gauges{
		Sessions: h.SessionCount, DroppedLogLines: e.Dropped,
		Configuration: func() uint64 {
			if c := h.Board.Configuration(); c != nil {
				return c.Version
			}
			return 0
		},
		Age:         h.Board.Age,
		PositionAge: h.Board.PositionAge, GroupsWithoutPrimary: h.Board.GroupsWithoutPrimary,
		Strength: h.Strength, OwnedSlots: h.OwnedSlots, TimerDelay: h.TimerDelay,
	})
	x := &reporter.Transfers{Log: h.Log, Metrics: m}
	a.store.OnCall, a.store.OnReceive = m.PlatformCall, x.Received
	a.feeds.OnReceive = x.Received
	a.sent = x.Sent
	d := platform.Dialer{OnMismatch: (&reporter.Mismatches{Log: h.Log, Metrics: m}).Record, Watch: &matcher.Watch{}}
	h.Transport, h.DialLink = d, d.DialLink
	h.Counter, a.invalid.Metrics = m, m
	r := &reporter.Reporter{Lines: e, Metrics: m, Sample: sample}
	h.Reporter, h.OnSessionEnd = r, r.SessionEnd
	if a.Reload != nil {
		adopt := func(s platform.Settings) {
			limitMemory(s)
			h.SetBounds(bounds(s))
		}
		go (&reloader{current: a.Settings, lastRead: a.Settings, load: a.Load, requests: a.Reload, adopt: adopt, log: h.Log}).run(ctx)
	}
	l, err := net.Listen("tcp4", a.Settings.MetricsAddress())
	if err != nil {
		return errors.Annotate(err, "listen for metrics")
	}
	c, stop := context.WithCancel(ctx)
	defer stop()
	go (&metricsServer{server: &server.Server{Listener: l, Gatherer: m.Registry, Live: func() error { return nil }, Ready: func() error {
		if !h.Ready() {
			return errNotReady
		}
		return nil
	}}, log: h.Log}).run(c)
	return h.Run(ctx, drain)
}

// bounds returns the settings that may change while the host runs.
func bounds(s platform.Settings) runner.Bounds {
	b := runner.Bounds{Grace: s.Grace, ConfigurationLimit: s.ConfigurationLimit, DrainLimit: s.DrainLimit, Lease: s.Lease, FencesChecked: s.FencesChecked}
	if s.StrictKeys {
		b.KeyLimit = s.KeyLimit
	}
	return b
}

func limitMemory(s platform.Settings) { debug.SetMemoryLimit(s.MemoryBytes * memoryLimitTenths / 10) }

const errNotReady = errors.ConstError("host takes no callers")

// metricsServer serves the metrics.
type metricsServer struct {
	server *server.Server
	log    log.Interface
}

func (x *metricsServer) run(ctx context.Context) {
	if err := x.server.Run(ctx); err != nil {
		x.log.WithError(err).Error("metrics server failed")
	}
}

// logWriter writes the log's lines until the process ends.
type logWriter struct {
	encoder *encoder.Encoder
	done    chan struct{}
}

func (w *logWriter) run(ctx context.Context) {
	defer close(w.done)
	_ = w.encoder.Run(ctx)
}

func (a *Assembler) newHost(e *encoder.Encoder) *runner.Host {
	s := a.Settings
	a.fences.Store(s.FencesChecked)
	l := &log.Logger{Handler: e, Level: log.InfoLevel}
	for _, p := range s.Ignored {
		l.WithField("setting", p).Warn("setting ignored, strength unknown")
	}
	store := platform.NewStore(s.StoreAddress)
	a.store = store
	a.invalid = &reporter.InvalidObjects{Log: l}
	a.feeds = &platform.FeedClient{OnInvalid: a.reportInvalid}
	f := &feeder{store: store, remote: a.feeds, sent: func(t declarer.Transfer) { a.sent(t) }, servers: make(map[string]*platform.FeedServer), now: steady.Now, ranks: s.RanksRequests, tell: (&platform.Teller{Name: s.HostName}).Tell}
	a.feeds.LastValue = f.lastValue
	h := &runner.Host{
		Name:              s.HostName,
		CallerAddress:     s.CallerAddress,
		ReadinessAddress:  s.ReadinessAddress,
		ReadinessPath:     platform.ReadinessPath,
		Bounds:            bounds(s),
		FirstStart:        s.FirstStart,
		Board:             &blackboard.Board{Zone: s.AvailabilityZone, Region: s.Region, Regions: s.Regions},
		Registrar:         &platform.Registrar{Store: store},
		Seeds:             &platform.SeedStore{Store: store, OnInvalid: a.reportInvalid},
		ReachHost:         platform.ReachHost,
		ParseStatus:       platform.ParseStatus,
		NewBorrower:       func(c net.Conn) lender.Borrower { return platform.NewBorrower(c) },
		Relayer:           &relayer.Relayer{ReadRequest: platform.ReadHostRequest, Dial: platform.DialRaw, Reply: platform.WriteHostReply, Feed: f.serve, Regained: f.recordNotice, Log: l},
		Self:              declarer.Host{Name: s.HostName, Address: s.HostAddress(), AvailabilityZone: s.AvailabilityZone, Bandwidth: s.Bandwidth, Strength: appraiser.Strength(s.Cores, s.Bandwidth)},
		FencesChecked:     a.fencesChecked,
		PromotionPlatform: &platform.PromotionClient{Store: store, Commander: platform.NewCommander(s.CommandAddress), OnInvalid: a.reportInvalid},
		NewCaller:         func(c net.Conn) executor.Caller { return platform.NewCaller(c) },
		Tolerance:         s.Tolerance,
		DialQuota:         platform.DialQuotaLink,
		ServeQuota:        platform.ServeQuota,
		Log:               l,
	}
	f.attach(h, a.reportInvalid)
	return h
}

// fencesChecked reads from the present settings whether the platform checks fences. Settings that can't be read
// leave those before in force.
func (a *Assembler) fencesChecked() bool {
	if a.Load != nil {
		if s, err := a.Load(); err == nil {
			a.fences.Store(s.FencesChecked)
		}
	}
	return a.fences.Load()
}

// reportInvalid reports an object of the platform that isn't used, or not all of it.
func (a *Assembler) reportInvalid(err error) {
	if errors.Is(err, platform.ErrEntryIgnored) {
		a.invalid.Report(reporter.EffectPartial, err)
		return
	}
	a.invalid.Report(reporter.EffectSkipped, err)
}
