package runner

import (
	"context"
	"fmt"
	"time"

	"github.com/cuminwick/cuminwick/internal/config/encoder"
	"github.com/cuminwick/cuminwick/internal/config/follower"
	"github.com/cuminwick/cuminwick/internal/config/publisher"
)

// silentAfter is the age of a host's last report above which the host is shown as silent. By then
// it has missed several reports.
const silentAfter = 3 * follower.DefaultReportInterval

// status prints the state of the hosts, or the accepted revisions.
type status struct {
	History bool   `arg:"--history" help:"show the accepted revisions instead of the hosts"`
	Format  format `arg:"--format" default:"table" placeholder:"table|json" help:"how the status is printed"`
	platformFlags
}

func (s *status) run(ctx context.Context, r *Runner) error {
	c, err := s.client()
	if err != nil {
		return err
	}
	o := &publisher.Operator{Platform: c}
	x, err := o.Status(ctx)
	if err != nil {
		return err
	}
	if s.History {
		return s.Format.show(r.Output, historyTable(x.Head), x.Head.History)
	}
	if x.Head.Staged != nil {
		e := x.Head.Staged
		_, _ = fmt.Fprintf(r.Errors, "revision %d is staged by %s since %s\n", e.Revision, e.Operator, e.StagedAt.Format(time.RFC3339))
	}
	return s.Format.show(r.Output, hostTable(x, time.Now()), x)
}

func hostTable(x publisher.Status, now time.Time) table {
	t := table{head: []string{"zone", "host", "revision", "state", "last-report", "relay", "host-list"}}
	for _, h := range x.Hosts {
		t.rows = append(t.rows, []string{
			h.AvailabilityZone, h.Host, fmt.Sprint(h.InForce),
			hostState(x.Head, h, now), h.ReportedAt.Format(time.RFC3339),
			orDash(h.Relay), orDash(string(x.Listed[h.Host])),
		})
	}
	return t
}

// orDash replaces an empty table cell by a dash.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// hostState describes the state of a host. It compares the clocks of two machines, which is
// accurate enough for display.
func hostState(d encoder.Head, h encoder.Holder, now time.Time) string {
	switch {
	case now.Sub(h.ReportedAt) > silentAfter:
		return "silent since " + h.ReportedAt.Format(time.RFC3339)
	case h.InForce < d.Accepted:
		return fmt.Sprintf("behind, %d is accepted", d.Accepted)
	case d.Staged != nil && h.Refused == d.Staged.Revision:
		return fmt.Sprintf("refuses %d: %s", h.Refused, h.Reason)
	case d.Staged != nil && h.Ready == d.Staged.Revision:
		return fmt.Sprintf("ready for %d", h.Ready)
	}
	return "in force"
}

func historyTable(d encoder.Head) table {
	t := table{head: []string{"revision", "operator", "at", "from", "note"}}
	for _, e := range d.History {
		t.rows = append(t.rows, []string{
			fmt.Sprint(e.Revision), e.Operator, e.StagedAt.Format(time.RFC3339), fmt.Sprint(e.From), e.Note,
		})
	}
	return t
}

func (s *status) example() string {
	return "cuminwick status --format json"
}
