package deployer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/cuminwick/cuminwick/internal/host/deployer"
)

// lookupSession is a caller that knows what each of its statements must return.
type lookupSession struct {
	t      *testing.T
	d      *deployer.Deployment
	id     int
	random *rand.Rand
	conn   *pgx.Conn
	counts *lookupCounts
	// written holds the acknowledged rows.
	written []int
}

// lookupCounts counts the statements of all sessions.
type lookupCounts struct {
	answered, failed, mixed atomic.Int64
}

func (l *lookupSession) run(until time.Time) {
	for n := 0; time.Now().Before(until); n++ {
		if l.conn == nil || l.conn.IsClosed() {
			c, err := pgx.Connect(l.t.Context(), "postgres://caller@"+l.d.Hosts[l.id%len(l.d.Hosts)].Address()+"/db?sslmode=disable")
			if err != nil {
				time.Sleep(time.Millisecond)
				continue
			}
			l.conn = c
		}
		switch l.random.IntN(8) {
		case 0:
			l.write(1000 + 100000*l.id + n)
		case 1, 2, 3, 4:
			l.transaction()
		default:
			l.read(l.random.IntN(100))
		}
	}
	if l.conn != nil {
		l.conn.Close(context.Background())
	}
}

func (l *lookupSession) read(id int) {
	x, stop := context.WithTimeout(l.t.Context(), 5*time.Second)
	defer stop()
	l.readIn(x, l.conn, id)
}

func (l *lookupSession) write(id int) {
	x, stop := context.WithTimeout(l.t.Context(), 5*time.Second)
	defer stop()
	g, err := l.conn.Exec(x, "INSERT INTO t (id, v) VALUES ($1, $2)", id, "w")
	l.count(err, g.String() == "INSERT 0 1")
	if err == nil {
		l.written = append(l.written, id)
	}
}

// transaction reads several rows in a transaction.
func (l *lookupSession) transaction() {
	x, stop := context.WithTimeout(l.t.Context(), 5*time.Second)
	defer stop()
	t, err := l.conn.Begin(x)
	if err != nil {
		return
	}
	defer t.Rollback(x)
	for range 4 {
		if id := l.random.IntN(100); !l.readIn(x, t, id) {
			return
		}
	}
	_ = t.Commit(x)
}

// querier is a connection or a transaction.
type querier interface {
	QueryRow(ctx context.Context, sql string, args ...any) pgx.Row
}

// readIn reads a row and reports whether that succeeded.
func (l *lookupSession) readIn(x context.Context, q querier, id int) bool {
	var gotID int
	var got string
	err := q.QueryRow(x, "SELECT id, v FROM t WHERE id = $1", id).Scan(&gotID, &got)
	l.count(err, gotID == id && got == fmt.Sprint("v", id))
	return err == nil
}

func (l *lookupSession) count(err error, own bool) {
	switch {
	case err != nil:
		l.counts.failed.Add(1)
	case own:
		l.counts.answered.Add(1)
	default:
		l.counts.mixed.Add(1)
	}
}

// Guards against callers that get the answers to others' statements. Servers send one of 20 answers
// once more, up to 50 ms later, also those to the polls of the control connections.
func TestServersThatAnswerTwice(t *testing.T) {
	d := start(t)
	c := connect(t, d, 0, "")
	exec(t, c, "CREATE TABLE t (id bigint PRIMARY KEY, v text)")
	for i := range 100 {
		exec(t, c, "INSERT INTO t (id, v) VALUES ($1, $2)", i, fmt.Sprint("v", i))
	}
	servers := d.Standins["db"].Servers
	for _, s := range servers {
		s.RepeatAnswers(20, 50*time.Millisecond)
	}
	var n lookupCounts
	var w sync.WaitGroup
	var l []*lookupSession
	until := time.Now().Add(3 * time.Second)
	for i := range 24 {
		s := &lookupSession{t: t, d: d, id: i, random: rand.New(rand.NewPCG(1, uint64(i))), counts: &n}
		l = append(l, s)
		w.Go(func() { s.run(until) })
	}
	w.Wait()
	repeated := int64(0)
	for _, s := range servers {
		repeated += s.RepeatedAnswers()
		s.RepeatAnswers(0, 0)
	}
	t.Logf("%d answered, %d failed, %d mixed, %d answers repeated", n.answered.Load(), n.failed.Load(), n.mixed.Load(), repeated)
	if n.mixed.Load() > 0 {
		t.Errorf("%d of %d answers were those to other statements", n.mixed.Load(), n.answered.Load()+n.mixed.Load())
	}
	if repeated < 20 || n.answered.Load() < 200 {
		t.Errorf("%d answers repeated, %d statements answered, too few for the test to be meaningful", repeated, n.answered.Load())
	}
	time.Sleep(500 * time.Millisecond) // until the last repetition has been sent
	c = connect(t, d, 1, "")
	for _, s := range l {
		for _, id := range s.written {
			if v := query[int64](t, c, "SELECT count(*) FROM t WHERE id = $1", id); v != 1 {
				t.Errorf("row %d was acknowledged and is there %d times", id, v)
			}
		}
	}
}
