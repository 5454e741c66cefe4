// Package witness requests reports from other entry hosts on a primary that seems lost.
package witness

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/group/observer"
	"github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/peer/listener"
)

// Kind is the kind of a Question to another entry host.
const Kind encoder.Kind = "word"

const (
	// roundInterval is the time between two rounds of questions while a primary seems lost.
	roundInterval = 50 * time.Millisecond
	// maximumReportAge is how long a report is used, counted from the sending of its question.
	maximumReportAge = 400 * time.Millisecond
	// askTimeout bounds the wait for the answer to one question.
	askTimeout = 250 * time.Millisecond
	// maximumHostsAsked is how many hosts are asked about each group in one round.
	maximumHostsAsked = 2
)

// Question requests the report on the primary of a database group.
type Question struct {
	DatabaseGroup string `cbor:"1,keyasint"`
}

// Answer holds a host's report.
type Answer struct {
	// Serving says that the host serves the group. Otherwise Report is empty.
	Serving bool                   `cbor:"1,keyasint"`
	Report  observer.PrimaryReport `cbor:"2,keyasint"`
}

// Group is a database group that this host serves, usually a driver.Driver.
type Group interface {
	// PrimaryReport returns this host's assessment of the primary.
	PrimaryReport() observer.PrimaryReport
	// PollNow polls all backend servers immediately.
	PollNow()
}

// Witness exchanges reports on primaries with other entry hosts. It implements driver.Peers. The
// exported fields are set before Run.
type Witness struct {
	// Self is this entry host's name.
	Self string
	// ServingHosts returns the names of the entry hosts that serve a group.
	ServingHosts func(group string) []string
	// Groups returns the groups that this host serves, by name.
	Groups func() map[string]Group
	// Ask sends a question to another host.
	Ask func(ctx context.Context, host string, q Question) (Answer, error)
	// Clock provides the ticks of the rounds. If nil, plain timers are used.
	Clock *scheduler.Scheduler

	mu sync.Mutex
	// reports holds the last report of each host by the name of the group.
	reports map[string][]timedReport
	// rotation counts selections, so that rounds ask different hosts.
	rotation int
}

// timedReport is a report with the time at which it was requested.
type timedReport struct {
	report  observer.PrimaryReport
	askedAt time.Time
}

// Run requests reports while a primary seems lost, until ctx ends.
func (w *Witness) Run(ctx context.Context) error {
	c, s := w.Clock.Ticks(roundInterval)
	defer s.Cancel()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c:
			w.askRound(ctx)
		}
	}
}

// PrimaryReports implements driver.Peers. It returns the reports that aren't older than
// maximumReportAge.
func (w *Witness) PrimaryReports(group string) []observer.PrimaryReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	var l []observer.PrimaryReport
	now := time.Now()
	for _, k := range w.reports[group] {
		if now.Sub(k.askedAt) < maximumReportAge {
			l = append(l, k.report)
		}
	}
	return l
}

// Hosts implements driver.Peers. If no serving host is known, it returns this host alone, which
// then ranks first for promotions.
func (w *Witness) Hosts(group string) []string {
	l := w.ServingHosts(group)
	if len(l) == 0 {
		return []string{w.Self}
	}
	return l
}

// Route returns the route for questions of other hosts.
func (w *Witness) Route() listener.Route {
	return listener.Handle(Kind, w.answer)
}

// answer returns this host's report. If this host hasn't detected a loss, it also polls the
// backend servers immediately, so that its reports don't contradict the loss for long.
func (w *Witness) answer(_ context.Context, _ encoder.Sender, q Question) (Answer, error) {
	g := w.Groups()[q.DatabaseGroup]
	if g == nil {
		return Answer{}, nil
	}
	o := g.PrimaryReport()
	if !o.Lost {
		g.PollNow()
	}
	return Answer{Serving: true, Report: o}, nil
}

// askRound sends questions about each group whose primary seems lost to this host.
func (w *Witness) askRound(ctx context.Context) {
	for n, g := range w.Groups() {
		if !g.PrimaryReport().Lost {
			continue
		}
		for _, h := range w.pickHosts(n) {
			a := &inquiry{witness: w, host: h, group: n}
			go a.run(ctx)
		}
	}
}

// pickHosts returns the hosts to ask about the group, different ones in each round. Only hosts
// that serve the group poll its servers and can report on them.
func (w *Witness) pickHosts(group string) []string {
	l := slices.DeleteFunc(slices.Clone(w.ServingHosts(group)), func(h string) bool { return h == w.Self })
	if len(l) <= maximumHostsAsked {
		return l
	}
	w.rotation++
	n := make([]string, 0, maximumHostsAsked)
	for i := range maximumHostsAsked {
		n = append(n, l[(w.rotation+i)%len(l)])
	}
	return n
}

// inquiry is one question to one host.
type inquiry struct {
	witness *Witness
	host    string
	group   string
}

// run sends the question and stores the report. A host that doesn't answer or doesn't serve the
// group is ignored.
func (a *inquiry) run(ctx context.Context) {
	x, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	t := time.Now()
	r, err := a.witness.Ask(x, a.host, Question{DatabaseGroup: a.group})
	if err != nil || !r.Serving {
		return
	}
	a.witness.store(a.group, timedReport{report: r.Report, askedAt: t})
}

// store adds k to the reports of the group and removes the earlier report of its host.
func (w *Witness) store(group string, k timedReport) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reports == nil {
		w.reports = make(map[string][]timedReport)
	}
	l := slices.DeleteFunc(w.reports[group], func(o timedReport) bool { return o.report.Host == k.report.Host })
	w.reports[group] = append(l, k)
}
