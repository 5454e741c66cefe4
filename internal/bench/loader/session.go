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

// markParameter is the connection parameter that carries a session's mark from one entry host to
// another.
const markParameter = "cuminwick.mark"

// connectPause is the pause after a failed attempt to connect.
const connectPause = 20 * time.Millisecond

// session is one caller's session, which may move between entry hosts.
type session struct {
	loader *Loader
	random *rand.Rand
	name   string
	group  string
	host   Host
	conn   *pgconn.PgConn
	// mark is the latest mark that the session received, empty if none.
	mark string
	// number is that of the session's latest save or booking.
	number       int64
	requestCount int
}

func (c *session) run(ctx context.Context) {
	defer c.disconnect()
	n := 1 + c.random.IntN(2*c.loader.Load.RequestsPerSession-1)
	for range n {
		if c.loader.limiter.Wait(ctx) != nil {
			return
		}
		if c.conn != nil && c.random.Float64() < c.loader.Load.SwitchHostShare {
			c.disconnect()
		}
		if !c.ensureConnected(ctx) {
			return
		}
		c.request(context.WithoutCancel(ctx))
	}
}

// ensureConnected connects the session to a random entry host if it has no open connection. It
// returns false if ctx ended first.
func (c *session) ensureConnected(ctx context.Context) bool {
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
		c.loader.recordFailedConnect()
		if scheduler.Pause(ctx, connectPause) != nil {
			return false
		}
	}
	return true
}

// disconnect saves the mark and closes the connection.
func (c *session) disconnect() {
	if c.conn == nil {
		return
	}
	c.saveMark()
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	// The session ends at this host whether or not the close succeeds.
	_ = c.conn.Close(ctx)
	c.conn = nil
}

// saveMark stores the latest mark, which can't be read from a connection that is gone.
func (c *session) saveMark() {
	if m := c.conn.ParameterStatus(markParameter); m != "" {
		c.mark = m
	}
}

// Connect opens one connection to an entry host.
func (l *Loader) Connect(ctx context.Context, h Host, group, mark string) (*pgconn.PgConn, error) {
	ctx, stop := context.WithTimeout(ctx, requestTimeout)
	defer stop()
	f, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, errors.Annotate(err, "parse connection settings")
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

// request makes one request of a random kind and records its result.
//
// A caller that disconnected or timed out closes its connection. The driver keeps the connection open
// if the context ended between two statements; the next request would then run in the abandoned
// transaction and be lost with it.
func (c *session) request(ctx context.Context) {
	c.requestCount++
	r := &checker.Request{
		Name:      fmt.Sprintf("%s.%d", c.name, c.requestCount),
		Session:   c.name,
		Group:     c.group,
		Kind:      c.pickKind(),
		EntryHost: c.host.Name,
	}
	if r.Kind == checker.Save || r.Kind == checker.Booking {
		c.number++
		r.Number = c.number
	}
	ctx, stop := context.WithTimeout(ctx, requestTimeout)
	defer stop()
	k := c.scheduleCancel(stop)
	r.Start = c.loader.elapsed()
	err := c.perform(ctx, r)
	r.End = c.loader.elapsed()
	k.finish()
	c.setOutcome(r, err, ctx.Err() != nil)
	c.loader.record(*r)
	if ctx.Err() != nil {
		c.disconnect()
	}
	if c.conn != nil {
		c.saveMark()
	}
}

// pickKind returns a random kind of request, by the weights of the load.
func (c *session) pickKind() checker.Kind {
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
