package pacer_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/pacer"
)

// Three servers stand side by side and answer in 0.1 ms, but on a busy machine some
// answers take ten times as long. 32 callers read as fast as they can. Were the third
// server asked late for an answer that is held up, all callers would stand still
// meanwhile, and the entry host would serve a quarter less than with all servers
// asked all the time.
func TestLateAnswersHoldUpFew(t *testing.T) {
	paced, all := readers(false), readers(true)
	t.Logf("paced %+v, all servers back to back %+v", paced, all)
	if paced.reads < all.reads*9/10 {
		t.Errorf("%d reads, %d with all servers asked", paced.reads, all.reads)
	}
	if paced.polls > all.polls*4/5 {
		t.Errorf("%d polls, %d with all servers asked", paced.polls, all.polls)
	}
}

// served is what came of a second of reads.
type served struct {
	reads, polls int
}

// reader is one caller; done is when its answer or its next read comes.
type reader struct {
	waits  bool
	demand pacer.Demand
	done   time.Duration
}

// Mean times of a poll, of the exchange beside it, and until a caller's next read.
const poll, exchange, think = ms / 10, ms / 4, ms / 10

// readers has 32 callers read for a second of virtual time.
func readers(all bool) served {
	c := &scene{all: all, random: rand.New(rand.NewPCG(1, 2)), sequence: 1, readers: make([]reader, 32)}
	c.table = pacer.State{Settings: settings, Busy: true}
	for i := range c.ends {
		c.table.Servers = append(c.table.Servers, pacer.Server{Primary: i == 0, HasAnswered: true, LastPoll: 1, RoundTrip: poll})
	}
	for c.now < time.Second {
		c.now = max(c.now, min(c.polls(), c.arrival()))
		c.answers()
		c.reads()
	}
	return c.served
}

// scene is the servers and callers at one time; all says that all servers are
// asked while anybody waits.
type scene struct {
	all      bool
	random   *rand.Rand
	now      time.Duration
	sequence uint64
	table    pacer.State
	ends     [3]time.Duration
	readers  []reader
	served   served
}

// late draws a time with the given mean, of which few are several times as long.
func (c *scene) late(mean time.Duration) time.Duration {
	const spread = 1.3
	return time.Duration(float64(mean) * math.Exp(spread*c.random.NormFloat64()-spread*spread/2))
}

// polls begins those that are due and returns when one begins or ends next.
func (c *scene) polls() time.Duration {
	g := &c.table
	g.Demands = g.Demands[:0]
	for i := range c.readers {
		if k := &c.readers[i]; k.waits {
			g.Demands = pacer.AddDemand(g.Demands, k.demand)
		}
	}
	next := pacer.Never
	for i := range g.Servers {
		next = min(next, c.poll(i))
	}
	return next
}

func (c *scene) poll(i int) time.Duration {
	s := &c.table.Servers[i]
	at := pacer.Next(&c.table, i).At
	if s.Polling {
		return c.ends[i]
	}
	if at > c.now && (!c.all || len(c.table.Demands) == 0) {
		return at
	}
	c.sequence++
	c.served.polls++
	s.Polling, s.LastPoll, s.PollStarted = true, c.sequence, c.now
	c.ends[i] = c.now + c.late(poll)
	return c.ends[i]
}

// arrival is when the next read comes.
func (c *scene) arrival() time.Duration {
	next := pacer.Never
	for _, k := range c.readers {
		if !k.waits {
			next = min(next, k.done)
		}
	}
	return next
}

// answers ends the polls whose time has come.
func (c *scene) answers() {
	for i := range c.ends {
		s := &c.table.Servers[i]
		if s.Polling && c.ends[i] <= c.now {
			s.Polling, s.PollEnded, s.LastAnswered = false, c.now, s.LastPoll
			s.RoundTrip += (c.now - s.PollStarted - s.RoundTrip) / 8
		}
	}
}

// reads ends those that have their index and begins those that come.
func (c *scene) reads() {
	for i := range c.readers {
		k := &c.readers[i]
		switch {
		case k.waits && c.fresh(k.demand) >= 2:
			c.served.reads++
			*k = reader{done: max(c.now, k.done) + c.late(think)}
		case !k.waits && k.done <= c.now:
			d := pacer.Demand{Kind: pacer.KindReadIndex, ArrivedAt: c.now, AfterPoll: c.sequence}
			*k = reader{waits: true, demand: d, done: c.now + c.late(exchange)}
		}
	}
}

// fresh counts the servers that answered a poll which began after d came.
func (c *scene) fresh(d pacer.Demand) int {
	n := 0
	for _, s := range c.table.Servers {
		if s.LastAnswered > d.AfterPoll {
			n++
		}
	}
	return n
}
