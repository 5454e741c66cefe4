package loader

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cuminwick/cuminwick/internal/bench/checker"
	"github.com/cuminwick/cuminwick/internal/bench/definer"
	"github.com/cuminwick/cuminwick/internal/standin/responder"
)

// A caller leaves between two statements of a transaction. The driver keeps
// such a connection open; if the next request used it, it would run within the
// transaction that was left, and a run would blame the proxy for its loss.
func TestWhoLeavesClosesTheConnection(t *testing.T) {
	s := &responder.Server{Name: "a", Address: "127.0.0.1:0", Primary: true}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	<-s.Ready()
	l := &Loader{
		Load:      definer.Load{Bookings: 1, CancelShare: 1, DisconnectShare: 1, MaximumCancelDelay: time.Millisecond, RequestsPerSession: 1},
		Groups:    []string{"g"},
		Hosts:     func() []Host { return []Host{{Name: "a", Address: s.Addr()}} },
		Dial:      new(net.Dialer).DialContext,
		User:      "anna",
		StartTime: time.Now(),
	}
	if err := l.Prepare(ctx); err != nil {
		t.Fatal(err)
	}
	c := &session{loader: l, random: rand.New(rand.NewPCG(1, 1)), name: "s", group: "g"}
	left := 0
	for range 200 {
		if !c.arrive(ctx) {
			t.Fatal("not connected")
		}
		c.request(ctx)
		if c.conn == nil {
			left++
		} else if x := c.conn.TxStatus(); x != 'I' {
			t.Fatalf("the connection stays open in state %c", x)
		}
	}
	if left == 0 {
		t.Error("nobody left")
	}
}

func TestClassify(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want checker.Outcome
	}{
		"no error":                     {nil, checker.Ran},
		"lost connection":              {errors.New("reset"), checker.Unknown},
		"lost before COMMIT":           {errNotCommitted{errors.New("reset")}, checker.NotRun},
		"server's own error":           {&pgconn.PgError{Code: "23505"}, checker.NotRun},
		"server's cancel":              {&pgconn.PgError{Code: "57014"}, checker.Cancelled},
		"cancel with open outcome":     {&pgconn.PgError{Code: "57014", Detail: "outcome=unknown request=a"}, checker.Unknown},
		"refused":                      {&pgconn.PgError{Code: "53300", Detail: "outcome=not-run request=a"}, checker.NotRun},
		"open completion":              {&pgconn.PgError{Code: "40003", Detail: "outcome=unknown request=a"}, checker.Unknown},
		"shutdown, nothing said":       {&pgconn.PgError{Code: "57P01"}, checker.Unknown},
		"failed statement before it":   {errNotCommitted{&pgconn.PgError{Code: "40003", Detail: "outcome=unknown"}}, checker.NotRun},
		"cancel in a transaction":      {errNotCommitted{&pgconn.PgError{Code: "57014", Detail: "outcome=not-run"}}, checker.Cancelled},
		"error after the work is done": {&pgconn.PgError{Code: "57014", Detail: "outcome=ran request=a"}, checker.Ran},
	} {
		t.Run(name, func(t *testing.T) {
			if o, _ := classify(c.err); o != c.want {
				t.Errorf("%s, want %s", o, c.want)
			}
		})
	}
}
