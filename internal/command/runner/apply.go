package runner

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/config/applier"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/differ"
	"github.com/cuminwick/cuminwick/internal/config/parser"
	"github.com/cuminwick/cuminwick/internal/config/publisher"
	"github.com/cuminwick/cuminwick/internal/platform/requester"
)

// platformFlags are the flags of subcommands that call the platform.
type platformFlags struct {
	Platform  string `arg:"--platform,env:CUMINWICK_PLATFORM" placeholder:"URL" default:"http://127.0.0.1:7400" help:"platform's URL"`
	TokenFile string `arg:"--platform-token-file" placeholder:"FILE" help:"file with the credential shown to the platform"`
}

// client reads the file that the flags name and returns a client.
func (p platformFlags) client() (*requester.Client, error) {
	c := &requester.Client{Address: p.Platform}
	if p.TokenFile == "" {
		return c, nil
	}
	b, err := os.ReadFile(p.TokenFile)
	if err != nil {
		return nil, errors.Annotate(err, "read platform token")
	}
	c.Token = strings.TrimSpace(string(b))
	return c, nil
}

// apply puts a configuration file in force.
type apply struct {
	File     string        `arg:"positional" placeholder:"FILE" help:"configuration file"`
	Revision uint64        `arg:"--revision" placeholder:"N" help:"apply the file of revision N again, as a new revision"`
	Resume   bool          `arg:"--resume" help:"go on with what another operator has staged"`
	Withdraw bool          `arg:"--withdraw" help:"take back what is staged"`
	From     uint64        `arg:"--from" placeholder:"N" help:"fail unless revision N is in force"`
	DryRun   bool          `arg:"--dry-run" help:"show what would change and do nothing"`
	Operator string        `arg:"--operator,env:USER" placeholder:"NAME" help:"who applies, shown to other operators"`
	Note     string        `arg:"--note" placeholder:"TEXT" help:"kept with the revision"`
	Timeout  time.Duration `arg:"--timeout" default:"60s" placeholder:"DURATION" help:"withdraw what isn't accepted by then"`
	Format   format        `arg:"--format" default:"table" placeholder:"table|json" help:"how the result is printed"`
	platformFlags
}

func (a *apply) run(ctx context.Context, r *Runner) error {
	if a.modes() != 1 {
		return errors.Annotate(ErrUsage, "expected one of FILE, --revision N, --resume and --withdraw")
	}
	c, err := a.client()
	if err != nil {
		return err
	}
	o := &publisher.Operator{Platform: c, Name: a.Operator, Progress: r.printProgress}
	ctx, cancel := context.WithTimeoutCause(ctx, a.Timeout, errors.Errorf("not accepted within %s", a.Timeout))
	defer cancel()
	switch {
	case a.Resume:
		return a.printResult(r)(o.Resume(ctx))
	case a.Withdraw:
		return a.printResult(r)(o.Withdraw(ctx))
	}
	f, p, err := a.load(ctx, r, o)
	if err != nil {
		return err
	}
	return a.previewAndApply(ctx, r, o, f, p)
}

// modes returns how many of the mutually exclusive modes are set.
func (a *apply) modes() int {
	n := 0
	for _, b := range []bool{a.File != "", a.Revision != 0, a.Resume, a.Withdraw} {
		if b {
			n++
		}
	}
	return n
}

// load reads the file to apply from disk or, with --revision, from the platform.
func (a *apply) load(ctx context.Context, r *Runner, o *publisher.Operator) (declarer.File, publisher.Options, error) {
	p := publisher.Options{Note: a.Note}
	if a.From != 0 {
		p.From, p.CheckFrom = declarer.Revision(a.From), true
	}
	if a.Revision != 0 {
		f, err := o.File(ctx, declarer.Revision(a.Revision))
		f.EditedFrom = 0
		if p.Note == "" {
			p.Note = "revision " + strconv.FormatUint(a.Revision, 10) + " again"
		}
		return f, p, err
	}
	x, err := parser.ParseFile(a.File)
	if err != nil {
		return declarer.File{}, p, err
	}
	r.printWarnings(x.Warnings)
	if len(x.Faults) > 0 {
		return declarer.File{}, p, errors.Errorf("%s has %d faults, nothing applied:\n%v", a.File, len(x.Faults), x.Faults)
	}
	return x.File, p, nil
}

// previewAndApply prints the changes and applies f unless this is a dry run.
func (a *apply) previewAndApply(ctx context.Context, r *Runner, o *publisher.Operator, f declarer.File, p publisher.Options) error {
	l, from, err := o.Preview(ctx, f)
	if err != nil {
		return err
	}
	if a.DryRun {
		return a.Format.show(r.Output, changeTable(l), l)
	}
	_, _ = fmt.Fprintf(r.Errors, "%d changes against revision %d\n", len(l), from)
	for _, c := range l {
		_, _ = fmt.Fprintf(r.Errors, "  %s\n", c)
	}
	if !p.CheckFrom && f.EditedFrom == 0 {
		// The changes were printed against this revision. Applying f to a later one would silently
		// undo the changes made in between.
		p.From, p.CheckFrom = from, true
	}
	return a.printResult(r)(o.Apply(ctx, f, p))
}

func changeTable(l []differ.Change) table {
	t := table{head: []string{"subject", "action", "key", "before", "after"}}
	for _, c := range l {
		t.rows = append(t.rows, []string{c.Subject, string(c.Action), c.Key, c.Before, c.After})
	}
	return t
}

// printProgress prints for each availability zone how many hosts are ready or have the revision in
// force.
func (r *Runner) printProgress(p publisher.Progress) {
	if p.PlatformError != "" {
		_, _ = fmt.Fprintf(r.Errors, "waiting for the platform: %s\n", p.PlatformError)
		return
	}
	if len(p.Zones) == 0 || p.Revision == 0 {
		return
	}
	state, zoneState := "staged", "ready"
	if p.Accepted {
		state, zoneState = "accepted", "in force"
	}
	var l []string
	for _, z := range p.Zones {
		n := z.Ready
		if p.Accepted {
			n = z.InForce
		}
		l = append(l, fmt.Sprintf("%s %d of %d", z.AvailabilityZone, n, z.Hosts))
	}
	_, _ = fmt.Fprintf(r.Errors, "revision %d %s, %s at %s\n", p.Revision, state, zoneState, strings.Join(l, ", "))
}

// printResult returns a function that prints a result and returns outcomeError for it, or the error
// of the operation.
func (a *apply) printResult(r *Runner) func(applier.Result, error) error {
	return func(x applier.Result, err error) error {
		if err != nil {
			return err
		}
		t := table{
			head: []string{"outcome", "revision", "operator", "reason"},
			rows: [][]string{{string(x.Outcome), fmt.Sprint(x.Entry.Revision), x.Entry.Operator, x.Reason}},
		}
		if err := a.Format.show(r.Output, t, x); err != nil {
			return err
		}
		return a.outcomeError(x)
	}
}

// outcomeError returns an error unless the revision is in force or, with --withdraw, withdrawn.
func (a *apply) outcomeError(x applier.Result) error {
	switch {
	case x.Outcome == applier.InForce && !a.Withdraw:
		return nil
	case x.Outcome == applier.Withdrawn && a.Withdraw:
		return nil
	case x.Outcome == applier.Accepted:
		return errors.Errorf("revision %d is accepted, but these hosts haven't told that they decide by it: %s", x.Entry.Revision, describeMissing(x))
	case x.Outcome == applier.Conflict:
		return errors.Errorf("%s: revision %d by %s at %s", x.Reason, x.Entry.Revision, x.Entry.Operator, x.Entry.StagedAt.Format(time.RFC3339))
	}
	return errors.Errorf("%s: %s", x.Outcome, x.Reason)
}

// describeMissing lists the hosts that haven't reported the accepted revision as in force.
func describeMissing(x applier.Result) string {
	var l []string
	for _, h := range x.Missing {
		l = append(l, h.AvailabilityZone+"/"+h.Host+" (revision "+fmt.Sprint(h.InForce)+", last heard "+h.ReportedAt.Format(time.RFC3339)+")")
	}
	return strings.Join(l, ", ")
}

func (a *apply) example() string {
	return "cuminwick apply groups.yaml"
}
