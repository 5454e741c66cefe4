package runner

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/pprof"
	"strings"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/json"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/bench/definer"
	"github.com/cuminwick/cuminwick/internal/bench/reporter"
	benchrunner "github.com/cuminwick/cuminwick/internal/bench/runner"
)

// ErrViolations is the cause of the error of a benchmark that found broken promises. The promises
// are those that internal/bench/checker counts, such as that no acknowledged write is lost.
const ErrViolations = errors.ConstError("promises were broken")

// bench runs a benchmark scenario against the stand-ins.
type bench struct {
	Scenario   string        `arg:"--scenario" placeholder:"NAME" help:"scenario to run, see --list"`
	Deployment string        `arg:"--deployment" default:"kalkul-db" placeholder:"NAME" help:"kalkul-db or helpline-records"`
	Seed       uint64        `arg:"--seed" default:"1" placeholder:"N" help:"fixes what callers do"`
	Seeds      uint64        `arg:"--seeds" default:"1" placeholder:"N" help:"run that many seeds, from --seed on, and sum them up"`
	Duration   time.Duration `arg:"--duration" default:"15s" placeholder:"D" help:"how long the load lasts"`
	Load       float64       `arg:"--load" placeholder:"PERCENT" help:"load in percent of the slots' capacity, the scenario's own if left out"`
	Policy     string        `arg:"--policy" default:"cuminwick" placeholder:"NAME" help:"cuminwick or a baseline, see --list"`
	Report     string        `arg:"--report" placeholder:"DIR" help:"write a page with plots to DIR"`
	LogFile    string        `arg:"--log" placeholder:"FILE" help:"write the entry hosts' log lines to FILE"`
	Profile    string        `arg:"--cpu-profile" placeholder:"FILE" help:"write a CPU profile of the whole process to FILE"`
	List       bool          `arg:"--list" help:"describe the scenarios"`
	Format     format        `arg:"--format" default:"table" placeholder:"table|json" help:"how results are printed"`
}

func (b *bench) run(ctx context.Context, r *Runner) error {
	if b.List {
		return b.list(r)
	}
	if b.Scenario == "" {
		return errors.Annotate(ErrUsage, "--scenario or --list is missing")
	}
	if b.Load < 0 {
		return errors.Annotate(ErrUsage, "--load is negative")
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	stopProfile, err := b.startProfile()
	if err != nil {
		return err
	}
	defer stopProfile()
	l, closeLog, err := b.openLog()
	if err != nil {
		return err
	}
	defer closeLog()
	m := &benchrunner.Bench{
		Scenario:   b.Scenario,
		Deployment: b.Deployment,
		Policy:     b.Policy,
		Duration:   b.Duration,
		Log:        l,

		LoadPercent: b.Load,
	}
	if r.Terminal {
		m.Progress = b.progressPrinter(r.Errors)
	}
	v, err := b.measure(ctx, m)
	if errors.Is(err, benchrunner.ErrUnknownName) {
		return errors.WithType(err, ErrUsage)
	}
	if err != nil {
		return errors.Annotatef(err, "bench %s", b.Scenario)
	}
	return b.show(r, v)
}

// measure runs the scenario with each seed in turn. After the end of ctx no further seed is run.
func (b *bench) measure(ctx context.Context, m *benchrunner.Bench) ([]*reporter.Result, error) {
	var l []*reporter.Result
	for i := range max(1, b.Seeds) {
		if i > 0 && ctx.Err() != nil {
			break
		}
		m.Seed = b.Seed + i
		v, err := m.Run(ctx)
		if err != nil {
			return nil, errors.Annotatef(err, "seed %d", m.Seed)
		}
		l = append(l, v)
	}
	return l, nil
}

// openLog returns the logger of the entry hosts and a function that closes its file.
func (b *bench) openLog() (log.Interface, func(), error) {
	if b.LogFile == "" {
		return &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}, func() {}, nil
	}
	f, err := os.Create(b.LogFile)
	if err != nil {
		return nil, nil, errors.Annotate(err, "open log file")
	}
	return &log.Logger{Handler: json.New(f), Level: log.InfoLevel}, func() { f.Close() }, nil
}

// startProfile starts a CPU profile if --cpu-profile is set, and returns a function that stops it.
func (b *bench) startProfile() (func(), error) {
	if b.Profile == "" {
		return func() {}, nil
	}
	f, err := os.Create(b.Profile)
	if err != nil {
		return nil, errors.Annotate(err, "open profile")
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, errors.Annotate(err, "start profile")
	}
	return func() {
		pprof.StopCPUProfile()
		f.Close()
	}, nil
}

// list prints the scenarios and policies with their descriptions.
func (b *bench) list(r *Runner) error {
	t := table{head: []string{"scenario", "description"}}
	l := definer.Scenarios()
	for _, s := range l {
		t.rows = append(t.rows, []string{s.Name, s.Description})
	}
	for _, p := range definer.Policies() {
		t.rows = append(t.rows, []string{"--policy " + p.Name, p.Description})
	}
	return b.Format.show(r.Output, t, l)
}

// progressPrinter returns a function that prints the progress of a run and overwrites the same line
// each time.
func (b *bench) progressPrinter(w io.Writer) func(time.Duration, int) {
	return func(d time.Duration, n int) {
		_, _ = fmt.Fprintf(w, "\r%s on %s: %.0f of %.0f s, %d statements ", b.Scenario, b.Deployment, d.Seconds(), b.Duration.Seconds(), n)
	}
}

// result is the outcome of one run or of a sweep over several seeds.
type result interface {
	WriteTable(w io.Writer) error
	WriteJSON(w io.Writer) error
	Failed() bool
}

// show prints the result and writes the report pages. It returns ErrViolations if a promise was
// broken.
func (b *bench) show(r *Runner, l []*reporter.Result) error {
	if r.Terminal {
		_, _ = fmt.Fprint(r.Errors, "\r", strings.Repeat(" ", 79), "\r")
	}
	var v result = l[0]
	if b.Seeds > 1 {
		v = reporter.NewSweep(l)
	}
	write := v.WriteTable
	if b.Format == formatJSON {
		write = v.WriteJSON
	}
	if err := write(r.Output); err != nil {
		return err
	}
	for _, e := range l {
		if err := b.writePage(e); err != nil {
			return err
		}
	}
	if v.Failed() {
		return errors.Annotatef(ErrViolations, "bench %s", b.Scenario)
	}
	return nil
}

// writePage writes the report page of one run if --report is set.
func (b *bench) writePage(v *reporter.Result) error {
	if b.Report == "" {
		return nil
	}
	if err := os.MkdirAll(b.Report, 0o755); err != nil {
		return errors.Annotate(err, "make report directory")
	}
	n := filepath.Join(b.Report, fmt.Sprintf("%s-%s-%d.html", v.Scenario, v.Deployment, v.Seed))
	f, err := os.Create(n)
	if err != nil {
		return errors.Annotate(err, "make report")
	}
	err = v.WritePage(f)
	if e := f.Close(); err == nil {
		err = errors.Annotate(e, "close report")
	}
	return err
}

func (b *bench) example() string {
	return "cuminwick bench --scenario steady --deployment kalkul-db --duration 15s"
}
