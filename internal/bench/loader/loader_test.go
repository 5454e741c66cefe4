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

// Guards against a connection that is reused after its caller disconnected between two statements of
// a transaction. The driver keeps such a connection open; the next request would run within the
// abandoned transaction, and its loss would be counted as the proxy's fault.
func TestDisconnectClosesConnection(t *testing.T) {
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
	disconnects := 0
	for range 200 {
		if !c.ensureConnected(ctx) {
			t.Fatal("the session has no connection")
		}
		c.request(ctx)
		if c.conn == nil {
			disconnects++
		} else if x := c.conn.TxStatus(); x != 'I' {
			t.Fatalf("connection stays open with transaction status %c", x)
		}
	}
	if disconnects == 0 {
		t.Error("no caller disconnected")
	}
}

func TestClassify(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want checker.Outcome
	}{
		"no error":                     {nil, checker.Ran},
		"lost connection":              {errors.New("reset"), checker.Unknown},
		"lost before COMMIT":           {notCommittedError{errors.New("reset")}, checker.NotRun},
		"server's own error":           {&pgconn.PgError{Code: "23505"}, checker.NotRun},
		"server's cancel":              {&pgconn.PgError{Code: "57014"}, checker.Cancelled},
		"cancel with open outcome":     {&pgconn.PgError{Code: "57014", Detail: "outcome=unknown request=a"}, checker.Unknown},
		"refused":                      {&pgconn.PgError{Code: "53300", Detail: "outcome=not-run request=a"}, checker.NotRun},
		"open completion":              {&pgconn.PgError{Code: "40003", Detail: "outcome=unknown request=a"}, checker.Unknown},
		"shutdown without detail":      {&pgconn.PgError{Code: "57P01"}, checker.Unknown},
		"failed statement before it":   {notCommittedError{&pgconn.PgError{Code: "40003", Detail: "outcome=unknown"}}, checker.NotRun},
		"cancel in a transaction":      {notCommittedError{&pgconn.PgError{Code: "57014", Detail: "outcome=not-run"}}, checker.Cancelled},
		"error after the work is done": {&pgconn.PgError{Code: "57014", Detail: "outcome=ran request=a"}, checker.Ran},
	} {
		t.Run(name, func(t *testing.T) {
			if o, _ := classify(c.err); o != c.want {
				t.Errorf("%s, want %s", o, c.want)
			}
		})
	}
}
