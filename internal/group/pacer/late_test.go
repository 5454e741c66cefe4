package pacer_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/pacer"
)

// Guards against a loss of throughput because of late answers. Three near servers answer in 0.1 ms,
// but on a busy machine some answers take ten times as long. 32 callers read as fast as they can. If
// the third server were polled late in place of a delayed answer, all callers would wait meanwhile,
// and the entry host would serve a quarter less than with all servers polled continuously.
func TestLateAnswersDelayFewReads(t *testing.T) {
	paced, all := simulateReads(false), simulateReads(true)
	t.Logf("paced %+v, all servers back to back %+v", paced, all)
	if paced.reads < all.reads*9/10 {
		t.Errorf("%d reads, %d with all servers polled", paced.reads, all.reads)
	}
	if paced.polls > all.polls*4/5 {
		t.Errorf("%d polls, %d with all servers polled", paced.polls, all.polls)
	}
}

// counts are the completed reads and the polls of one second.
type counts struct {
	reads, polls int
}

// reader is one caller; done is when its answer or its next read arrives.
type reader struct {
	waits  bool
	demand pacer.Demand
	done   time.Duration
}

// Mean durations of a poll, of the backend server's answer in parallel, and until the next read.
const poll, exchange, think = ms / 10, ms / 4, ms / 10

// simulateReads has 32 callers read for a second of virtual time.
func simulateReads(all bool) counts {
	c := &simulation{all: all, random: rand.New(rand.NewPCG(1, 2)), sequence: 1, readers: make([]reader, 32)}
	c.state = pacer.State{Settings: settings, Busy: true}
	for i := range c.ends {
		c.state.Servers = append(c.state.Servers, pacer.Server{Primary: i == 0, HasAnswered: true, LastPoll: 1, RoundTrip: poll})
	}
	for c.now < time.Second {
		c.now = max(c.now, min(c.startPolls(), c.nextRead()))
		c.endPolls()
		c.advanceReads()
	}
	return c.counts
}

// simulation is the servers and callers at one time; all reports whether all servers are polled
// continuously while any caller waits.
type simulation struct {
	all      bool
	random   *rand.Rand
	now      time.Duration
	sequence uint64
	state    pacer.State
	ends     [3]time.Duration
	readers  []reader
	counts   counts
}

// duration draws a duration with the given mean; a few durations are several times as long.
func (c *simulation) duration(mean time.Duration) time.Duration {
	const spread = 1.3
	return time.Duration(float64(mean) * math.Exp(spread*c.random.NormFloat64()-spread*spread/2))
}

// startPolls begins the polls that are due and returns when the next poll begins or ends.
func (c *simulation) startPolls() time.Duration {
	g := &c.state
	g.Demands = g.Demands[:0]
	for i := range c.readers {
		if k := &c.readers[i]; k.waits {
			g.Demands = pacer.AddDemand(g.Demands, k.demand)
		}
	}
	next := pacer.Never
	for i := range g.Servers {
		next = min(next, c.startPoll(i))
	}
	return next
}

func (c *simulation) startPoll(i int) time.Duration {
	s := &c.state.Servers[i]
	at := pacer.Next(&c.state, i).At
	if s.Polling {
		return c.ends[i]
	}
	if at > c.now && (!c.all || len(c.state.Demands) == 0) {
		return at
	}
	c.sequence++
	c.counts.polls++
	s.Polling, s.LastPoll, s.PollStarted = true, c.sequence, c.now
	c.ends[i] = c.now + c.duration(poll)
	return c.ends[i]
}

// nextRead returns when the next read arrives.
func (c *simulation) nextRead() time.Duration {
	next := pacer.Never
	for _, k := range c.readers {
		if !k.waits {
			next = min(next, k.done)
		}
	}
	return next
}

// endPolls ends the polls that are due to end.
func (c *simulation) endPolls() {
	for i := range c.ends {
		s := &c.state.Servers[i]
		if s.Polling && c.ends[i] <= c.now {
			s.Polling, s.PollEnded, s.LastAnswered = false, c.now, s.LastPoll
			s.RoundTrip += (c.now - s.PollStarted - s.RoundTrip) / 8
		}
	}
}

// advanceReads ends the reads that have their read index and begins those that arrive.
func (c *simulation) advanceReads() {
	for i := range c.readers {
		k := &c.readers[i]
		switch {
		case k.waits && c.answered(k.demand) >= 2:
			c.counts.reads++
			*k = reader{done: max(c.now, k.done) + c.duration(think)}
		case !k.waits && k.done <= c.now:
			d := pacer.Demand{Kind: pacer.KindReadIndex, ArrivedAt: c.now, AfterPoll: c.sequence}
			*k = reader{waits: true, demand: d, done: c.now + c.duration(exchange)}
		}
	}
}

// answered counts the servers that answered a poll that began after d arrived.
func (c *simulation) answered(d pacer.Demand) int {
	n := 0
	for _, s := range c.state.Servers {
		if s.LastAnswered > d.AfterPoll {
			n++
		}
	}
	return n
}
