// Package witness asks other entry hosts for their word on a primary that seems lost.
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

// Kind asks another entry host for its word on a database group's primary.
const Kind encoder.Kind = "word"

const (
	// interval is the time between two rounds of questions while a primary
	// seems lost.
	interval = 50 * time.Millisecond
	// lifetime is how long a word counts.
	lifetime = 400 * time.Millisecond
	// askTimeout bounds one question.
	askTimeout = 250 * time.Millisecond
	// maximumAsked is how many hosts are asked in a round.
	maximumAsked = 2
)

// Question asks for the word on one database group.
type Question struct {
	DatabaseGroup string `cbor:"1,keyasint"`
}

// Answer is a host's word, if it serves the group.
type Answer struct {
	Serving bool                   `cbor:"1,keyasint"`
	Report  observer.PrimaryReport `cbor:"2,keyasint"`
}

// Group is a database group as this host sees it, usually a driver.Driver.
type Group interface {
	PrimaryReport() observer.PrimaryReport
	// PollNow looks at all instances at once.
	PollNow()
}

// Witness implements driver.Peers. The exported fields are set before Run.
type Witness struct {
	// Self is this entry host's name.
	Self string
	// ServingHosts returns the names of the entry hosts that serve a group.
	ServingHosts func(group string) []string
	// Groups returns the groups that this host serves, by name.
	Groups func() map[string]Group
	// Ask puts a question to another host.
	Ask func(ctx context.Context, host string, q Question) (Answer, error)
	// Clock gives the ticks, plain timers if nil.
	Clock *scheduler.Scheduler

	mu    sync.Mutex
	words map[string][]kept
	turn  int
}

// kept is a word with the time at which it was asked for.
type kept struct {
	word observer.PrimaryReport
	at   time.Time
}

// Run asks for words while a primary seems lost, until ctx ends.
func (w *Witness) Run(ctx context.Context) error {
	c, s := w.Clock.Ticks(interval)
	defer s.Cancel()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c:
			w.round(ctx)
		}
	}
}

// PrimaryReports implements driver.Peers.
func (w *Witness) PrimaryReports(group string) []observer.PrimaryReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	var l []observer.PrimaryReport
	now := time.Now()
	for _, k := range w.words[group] {
		if now.Sub(k.at) < lifetime {
			l = append(l, k.word)
		}
	}
	return l
}

// Hosts implements driver.Peers. While no other host is known, this one promotes
// as the first.
func (w *Witness) Hosts(group string) []string {
	l := w.ServingHosts(group)
	if len(l) == 0 {
		return []string{w.Self}
	}
	return l
}

// Route answers the questions of other hosts.
func (w *Witness) Route() listener.Route {
	return listener.Handle(Kind, w.answer)
}

// answer also looks at the instances at once, so that a host which hasn't
// noticed the loss yet doesn't contradict it for long.
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

func (w *Witness) round(ctx context.Context) {
	for n, g := range w.Groups() {
		if !g.PrimaryReport().Lost {
			continue
		}
		for _, h := range w.next(n) {
			a := &asking{witness: w, host: h, group: n}
			go a.run(ctx)
		}
	}
}

// next returns whom to ask on the group, others with each round. Hosts that don't
// serve it have no word of their own.
func (w *Witness) next(group string) []string {
	l := slices.DeleteFunc(slices.Clone(w.ServingHosts(group)), func(h string) bool { return h == w.Self })
	if len(l) <= maximumAsked {
		return l
	}
	w.turn++
	n := make([]string, 0, maximumAsked)
	for i := range maximumAsked {
		n = append(n, l[(w.turn+i)%len(l)])
	}
	return n
}

// asking is one question.
type asking struct {
	witness *Witness
	host    string
	group   string
}

// run keeps the answer; a host that can't be asked has no word.
func (a *asking) run(ctx context.Context) {
	x, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	t := time.Now()
	r, err := a.witness.Ask(x, a.host, Question{DatabaseGroup: a.group})
	if err != nil || !r.Serving {
		return
	}
	a.witness.keep(a.group, kept{word: r.Report, at: t})
}

// keep replaces the host's earlier word.
func (w *Witness) keep(group string, k kept) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.words == nil {
		w.words = make(map[string][]kept)
	}
	l := slices.DeleteFunc(w.words[group], func(o kept) bool { return o.word.Host == k.word.Host })
	w.words[group] = append(l, k)
}
