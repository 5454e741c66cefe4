package loader

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/bench/checker"
	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
)

// markParameter carries a session's mark from one entry host to another.
const markParameter = "cuminwick.mark"

// connectPause is what a caller waits after a connection that failed.
const connectPause = 20 * time.Millisecond

// session is one caller's session, which may move between entry hosts.
type session struct {
	loader *Loader
	random *rand.Rand
	name   string
	group  string
	host   Host
	conn   *pgconn.PgConn
	mark   string
	number int64
	count  int
}

func (c *session) run(ctx context.Context) {
	defer c.leave()
	n := 1 + c.random.IntN(2*c.loader.Load.RequestsPerSession-1)
	for range n {
		if c.loader.limiter.Wait(ctx) != nil {
			return
		}
		if c.conn != nil && c.random.Float64() < c.loader.Load.SwitchHostShare {
			c.leave()
		}
		if !c.arrive(ctx) {
			return
		}
		c.request(context.WithoutCancel(ctx))
	}
}

// arrive sees to it that the session has a connection.
func (c *session) arrive(ctx context.Context) bool {
	for c.conn == nil || c.conn.IsClosed() {
		c.host = c.loader.pickHost(c.random)
		m := c.mark
		if c.random.IntN(2) == 0 || m == "" {
			m = c.loader.Token
		}
		x, err := c.loader.Connect(ctx, c.host, c.group, m)
		if err == nil {
			c.conn = x
			return true
		}
		c.loader.recordFailure()
		if scheduler.Pause(ctx, connectPause) != nil {
			return false
		}
	}
	return true
}

// leave closes the connection and remembers the mark.
func (c *session) leave() {
	if c.conn == nil {
		return
	}
	c.keepMark()
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	// The session is over at this host whether or not the close succeeds.
	_ = c.conn.Close(ctx)
	c.conn = nil
}

// keepMark remembers the latest mark, which a lost connection can't tell any more.
func (c *session) keepMark() {
	if m := c.conn.ParameterStatus(markParameter); m != "" {
		c.mark = m
	}
}

// Connect opens one connection to an entry host.
func (l *Loader) Connect(ctx context.Context, h Host, group, mark string) (*pgconn.PgConn, error) {
	ctx, stop := context.WithTimeout(ctx, patience)
	defer stop()
	f, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, errors.Annotate(err, "make caller's settings")
	}
	a, p, err := net.SplitHostPort(h.Address)
	if err != nil {
		return nil, errors.Annotatef(err, "address of entry host %s", h.Name)
	}
	n, err := strconv.ParseUint(p, 10, 16)
	if err != nil {
		return nil, errors.Annotatef(err, "port of entry host %s", h.Name)
	}
	f.Host, f.Port = a, uint16(n)
	f.User, f.Password, f.Database = l.User, l.Password, group
	f.Fallbacks = nil
	f.DialFunc = pgconn.DialFunc(l.Dial)
	f.RuntimeParams = map[string]string{"application_name": "bench"}
	if mark != "" {
		f.RuntimeParams[markParameter] = mark
	}
	c, err := pgconn.ConnectConfig(ctx, f)
	return c, errors.Annotatef(err, "connect to entry host %s", h.Name)
}

// request makes one request of a random kind and records what the caller saw.
//
// A caller who left or gave up closes its connection. The driver keeps it open
// where the context ended between two statements; the next request would then
// run in the transaction that was left, and be lost with it.
func (c *session) request(ctx context.Context) {
	c.count++
	r := &checker.Request{
		Name:      fmt.Sprintf("%s.%d", c.name, c.count),
		Session:   c.name,
		Group:     c.group,
		Kind:      c.pick(),
		EntryHost: c.host.Name,
	}
	if r.Kind == checker.Save || r.Kind == checker.Booking {
		c.number++
		r.Number = c.number
	}
	ctx, stop := context.WithTimeout(ctx, patience)
	defer stop()
	k := c.armCancel(stop)
	r.Start = c.loader.since()
	err := c.perform(ctx, r)
	r.End = c.loader.since()
	k.disarm()
	c.conclude(r, err, ctx.Err() != nil)
	c.loader.record(*r)
	if ctx.Err() != nil {
		c.leave()
	}
	if c.conn != nil {
		c.keepMark()
	}
}

// pick draws a kind of request.
func (c *session) pick() checker.Kind {
	m := &c.loader.Load
	n := c.random.IntN(m.Notes + m.Saves + m.Bookings + m.Reads + m.Reviews + m.Reports)
	for _, k := range []struct {
		kind   checker.Kind
		weight int
	}{
		{checker.Note, m.Notes},
		{checker.Save, m.Saves},
		{checker.Booking, m.Bookings},
		{checker.Read, m.Reads},
		{checker.Review, m.Reviews},
	} {
		if n < k.weight {
			return k.kind
		}
		n -= k.weight
	}
	return checker.Report
}
