// Package prober checks over a new connection whether a backend server still runs a statement of another session.
package prober

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"
)

// stateActive is the state in pg_stat_activity of a session that runs a statement.
const stateActive = "active"

// Prober queries and terminates sessions at one backend server. Each call opens a new connection,
// since an existing one may be dead as well. The fields are set before use.
type Prober struct {
	Address  string
	User     string
	Password string
	Database string
	// ApplicationName identifies the prober's connections, which count as reserved ones.
	ApplicationName string
	// Timeout limits each call, including the connect.
	Timeout time.Duration
	// Dial opens the TCP connection; if nil, the default dialer of pgconn does.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Working reports whether the session with this process ID runs a statement. An error means that
// the server couldn't be queried, and says nothing about the session.
func (p *Prober) Working(ctx context.Context, processID uint32) (bool, error) {
	x, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	c, err := p.connect(x)
	if err != nil {
		return false, errors.Annotatef(err, "probe backend server %s", p.Address)
	}
	defer c.Close(context.WithoutCancel(ctx))
	q := "SELECT state FROM pg_stat_activity WHERE pid = " + strconv.FormatUint(uint64(processID), 10)
	r, err := c.Exec(x, q).ReadAll()
	if err != nil {
		return false, errors.Annotatef(err, "ask backend server %s for process %d", p.Address, processID)
	}
	if len(r) != 1 || len(r[0].Rows) != 1 {
		return false, nil
	}
	return string(r[0].Rows[0][0]) == stateActive, nil
}

// Terminate terminates the sessions with these process IDs. A connection that stopped responding is
// still open at the server: it counts towards the connection limit, may hold locks, and could
// commit later.
func (p *Prober) Terminate(ctx context.Context, processIDs []uint32) error {
	x, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	c, err := p.connect(x)
	if err != nil {
		return errors.Annotatef(err, "reach backend server %s to end silent sessions", p.Address)
	}
	defer c.Close(context.WithoutCancel(ctx))
	for _, n := range processIDs {
		q := "SELECT pg_terminate_backend(" + strconv.FormatUint(uint64(n), 10) + ")"
		if _, err := c.Exec(x, q).ReadAll(); err != nil {
			return errors.Annotatef(err, "end process %d at backend server %s", n, p.Address)
		}
	}
	return nil
}

func (p *Prober) connect(ctx context.Context) (*pgconn.PgConn, error) {
	c, err := pgconn.ParseConfig("postgres://" + p.Address + "/?sslmode=disable")
	if err != nil {
		return nil, errors.Trace(err)
	}
	c.User = p.User
	c.Password = p.Password
	c.Database = p.Database
	c.Fallbacks = nil
	c.RuntimeParams["application_name"] = p.ApplicationName
	if p.Dial != nil {
		c.DialFunc = p.Dial
	}
	return pgconn.ConnectConfig(ctx, c)
}
