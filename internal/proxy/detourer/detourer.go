// Package detourer reaches backend servers by way of other entry hosts where the
// direct way is cut.
package detourer

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/keeper"
)

const (
	// blockedFor is how long the direct way isn't tried after it failed.
	blockedFor = 2 * time.Second
	// deafFor is how long a host isn't asked after it failed.
	deafFor = 2 * time.Second
	// width is how many hosts are asked for a way at once: one may be cut off as well,
	// and one may be gone without our having heard.
	width = 3
	// witnesses is how many are asked whether they hear a server. A cut may leave only
	// a part of the hosts with a way: of twelve all miss it in 1 of 170 cases where
	// two thirds are cut off.
	witnesses = 12
	// witnessTimeout bounds their answers: there and back, and a connection that they
	// try to make.
	witnessTimeout = 350 * time.Millisecond
)

// Way opens a connection to a server, directly or through the host's address.
type Way interface {
	keeper.Dialer
	Via(ctx context.Context, host string, s declarer.Server) (keeper.Connection, marker.Mark, error)
	// Heard asks a host about the server. The answer is keeper.ErrAlive or keeper.ErrLost;
	// any other error is no answer.
	Heard(ctx context.Context, host string, s declarer.Server, q Question) error
}

// Question is what another host is asked about a server.
type Question uint8

// Questions.
const (
	// QuestionReach: does it reach the server, or has heard from it a moment ago?
	QuestionReach Question = iota
	// QuestionAnswer: has the server itself answered there within the last seconds? That a
	// connection can be made says nothing of a process that hangs.
	QuestionAnswer
)

// Word is what other hosts say of a server.
type Word uint8

// Words.
const (
	// WordNone: no host could be asked.
	WordNone Word = iota
	// WordLost: some don't hear from it, and none does.
	WordLost
	// WordAlive: one does.
	WordAlive
)

// Dialer opens connections directly where it can, and else by way of other hosts. Its
// exported fields are set before use.
type Dialer struct {
	Way Way
	// Hosts returns the other entry hosts.
	Hosts func() []declarer.Host

	mu sync.Mutex
	// blocked and deaf are until when a server or host isn't tried.
	blocked map[string]time.Time
	deaf    map[string]time.Time
}

// Dial opens a connection to the server. An answer of the server itself, or of its
// host that no process listens, ends the search: another way leads to the same.
func (d *Dialer) Dial(ctx context.Context, s declarer.Server) (keeper.Connection, marker.Mark, error) {
	var cause error = keeper.ErrNoWay
	if !d.until(d.blocked, s.ID) {
		c, m, err := d.Way.Dial(ctx, s)
		if err == nil || !errors.Is(err, keeper.ErrNoWay) || errors.Is(err, syscall.ECONNREFUSED) {
			return c, m, err
		}
		cause = err
		d.note(&d.blocked, s.ID, blockedFor)
	}
	c, m, err := d.around(ctx, s)
	if errors.Is(err, keeper.ErrNoWay) {
		return nil, m, cause
	}
	return c, m, err
}

// around asks some of the other hosts at once and takes the first that gets through.
func (d *Dialer) around(ctx context.Context, s declarer.Server) (keeper.Connection, marker.Mark, error) {
	l := d.pick(width)
	c, cancel := context.WithCancel(ctx)
	defer cancel()
	r := make(chan result, len(l))
	for _, h := range l {
		go (&detour{dialer: d, host: h, server: s, results: r}).run(c)
	}
	for i := range l {
		x := <-r
		if x.err == nil || answered(x.err) {
			go (&rest{results: r, n: len(l) - i - 1}).run()
			return x.connection, x.mark, x.err
		}
	}
	return nil, marker.Mark{}, keeper.ErrNoWay
}

// Ask returns what other hosts say of the server. A host that can't be asked says nothing.
func (d *Dialer) Ask(ctx context.Context, s declarer.Server, q Question) Word {
	c, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	l := shuffled(d.Hosts(), witnesses)
	r := make(chan error, len(l))
	for _, h := range l {
		go (&witness{way: d.Way, host: h, server: s, question: q, words: r}).run(c)
	}
	word := WordNone
	for range l {
		switch err := <-r; {
		case errors.Is(err, keeper.ErrAlive):
			return WordAlive
		case errors.Is(err, keeper.ErrLost):
			word = WordLost
		}
	}
	return word
}

// Answers reports whether the named host answers a question about the server, whatever
// its answer is.
func (d *Dialer) Answers(ctx context.Context, host string, s declarer.Server) bool {
	c, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	for _, h := range d.Hosts() {
		if h.Name == host {
			return told(d.Way.Heard(c, h.Address, s, QuestionReach))
		}
	}
	return false
}

// witness is one host asked whether it hears from a server.
type witness struct {
	way      Way
	host     declarer.Host
	server   declarer.Server
	question Question
	words    chan<- error
}

func (w *witness) run(ctx context.Context) {
	w.words <- w.way.Heard(ctx, w.host.Address, w.server, w.question)
}

// answered reports whether the error is the server's own word.
func answered(err error) bool {
	return errors.Is(err, keeper.ErrCrowded) || errors.Is(err, keeper.ErrTurnedAway)
}

// pick returns up to n hosts by lot, without those that failed a moment ago.
func (d *Dialer) pick(n int) []declarer.Host {
	var l []declarer.Host
	for _, h := range d.Hosts() {
		if !d.until(d.deaf, h.Name) {
			l = append(l, h)
		}
	}
	return shuffled(l, n)
}

// shuffled returns up to n of l by lot.
func shuffled(l []declarer.Host, n int) []declarer.Host {
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	return l[:min(len(l), n)]
}

func (d *Dialer) until(m map[string]time.Time, name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(m[name])
}

func (d *Dialer) note(m *map[string]time.Time, name string, t time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if *m == nil {
		*m = make(map[string]time.Time)
	}
	(*m)[name] = time.Now().Add(t)
}

// result is what one way led to.
type result struct {
	connection keeper.Connection
	mark       marker.Mark
	err        error
}

// detour is the way through one host.
type detour struct {
	dialer  *Dialer
	host    declarer.Host
	server  declarer.Server
	results chan<- result
}

func (x *detour) run(ctx context.Context) {
	c, m, err := x.dialer.Way.Via(ctx, x.host.Address, x.server)
	if err != nil && ctx.Err() == nil && !told(err) {
		// Not where the time ran out: the host may only have been asked late.
		x.dialer.note(&x.dialer.deaf, x.host.Name, deafFor)
	}
	x.results <- result{connection: c, mark: m, err: err}
}

// told reports whether the error is the asked host's word.
func told(err error) bool {
	return answered(err) || errors.Is(err, keeper.ErrLost) || errors.Is(err, keeper.ErrAlive)
}

// rest closes connections that came too late.
type rest struct {
	results <-chan result
	n       int
}

func (x *rest) run() {
	for range x.n {
		if r := <-x.results; r.err == nil {
			r.connection.Close()
		}
	}
}
