// Package prober finds out over a new connection whether a backend server still works for an old one.
package prober

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"
)

// stateActive is how PostgreSQL calls a session that runs a statement.
const stateActive = "active"

// Prober asks one backend server about its sessions. Each probe opens a
// connection of its own, since an old one may have gone silent as well.
type Prober struct {
	Address  string
	User     string
	Password string
	Database string
	// ApplicationName marks the reserved connection.
	ApplicationName string
	Timeout         time.Duration
	// Dial opens the TCP connection, nil for the plain dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Working reports whether the session with this process id runs a statement.
// An error says only that the server couldn't be asked.
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

// Terminate ends the sessions with these process ids. A connection that has
// gone silent is still open for the server: it counts against the limit on
// connections, may hold locks, and could commit later.
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
