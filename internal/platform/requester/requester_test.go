package requester_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/platform/accessor"
	"github.com/cuminwick/cuminwick/internal/platform/requester"
	"github.com/cuminwick/cuminwick/internal/standin/storekeeper"
)

func start(t *testing.T) (*storekeeper.Store, *requester.Client) {
	t.Helper()
	s := &storekeeper.Store{}
	h := httptest.NewServer(s.Handler())
	t.Cleanup(h.Close)
	return s, &requester.Client{Address: strings.TrimPrefix(h.URL, "http://"), HTTP: h.Client()}
}

func TestConditionalPut(t *testing.T) {
	ctx := t.Context()
	s, c := start(t)
	o := accessor.Object{Kind: "configuration", Name: "a/b", Writer: "w1", Value: []byte("one")}
	p, err := c.Put(ctx, o)
	if err != nil || p.Version != 1 {
		t.Fatalf("got version %d, error %v", p.Version, err)
	}
	if _, err := c.Put(ctx, o); !errors.Is(err, accessor.ErrConflict) {
		t.Errorf("put on a stale version: %v", err)
	}
	g, err := c.Get(ctx, "configuration", "a/b")
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(p, g); d != "" {
		t.Error(d)
	}
	l, err := c.List(ctx, "configuration")
	if err != nil || len(l) != 1 {
		t.Errorf("list: %v, %v", l, err)
	}
	if _, err := c.Get(ctx, "configuration", "absent"); !errors.Is(err, accessor.ErrNotFound) {
		t.Errorf("get of an absent object: %v", err)
	}
	o.Value = make([]byte, accessor.MaximumValueBytes+1)
	if _, err := c.Put(ctx, o); !errors.Is(err, accessor.ErrTooLarge) {
		t.Errorf("put of a large value: %v", err)
	}
	if n := s.Calls(); n.Put != 2 || n.Get != 2 || n.List != 1 {
		t.Errorf("calls %+v", n)
	}
}

func TestWatch(t *testing.T) {
	ctx := t.Context()
	s, c := start(t)
	c.Wait = time.Millisecond
	if _, err := c.Watch(ctx, "k", "n", 0); !errors.Is(err, accessor.ErrNotFound) {
		t.Errorf("watch of an absent object: %v", err)
	}
	o, err := c.Put(ctx, accessor.Object{Kind: "k", Name: "n", Value: []byte("1")})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Watch(ctx, "k", "n", o.Version); !errors.Is(err, accessor.ErrUnchanged) {
		t.Errorf("watch of an unchanged object: %v", err)
	}
	c.Wait = time.Minute
	s.ResetCalls()
	r := make(chan accessor.Object, 1)
	go func() {
		p, err := c.Watch(ctx, "k", "n", o.Version)
		if err != nil {
			t.Error(err)
		}
		r <- p
	}()
	for s.Calls().Watch == 0 {
		time.Sleep(time.Millisecond)
	}
	o.Value = []byte("2")
	if _, err := c.Put(ctx, o); err != nil {
		t.Fatal(err)
	}
	if p := <-r; p.Version != 2 || string(p.Value) != "2" {
		t.Errorf("got %+v", p)
	}
}

// The connection breaks after the service has made the change, so that the writer gets an error although
// its value is stored. Guards against a writer that can't recognize its own change when it reads the
// object, and against ErrConflict, which would mean that nothing was changed.
func TestLostAnswer(t *testing.T) {
	ctx := t.Context()
	s, c := start(t)
	s.LoseAnswers(1)
	_, err := c.Put(ctx, accessor.Object{Kind: "k", Name: "n", Writer: "me"})
	if err == nil || errors.Is(err, accessor.ErrConflict) {
		t.Fatalf("got error %v", err)
	}
	o, err := c.Get(ctx, "k", "n")
	if err != nil || o.Writer != "me" {
		t.Errorf("got %+v, error %v", o, err)
	}
}

// The whole service fails and recovers with its data. Guards against an outage that is reported as an
// absent object, and against an error that doesn't contain the service's address.
func TestOutage(t *testing.T) {
	ctx := t.Context()
	s, c := start(t)
	s.SetOutage(true)
	_, err := c.Get(ctx, "k", "n")
	if err == nil || errors.Is(err, accessor.ErrNotFound) {
		t.Fatalf("get during an outage: %v", err)
	}
	if !strings.Contains(err.Error(), c.Address) {
		t.Errorf("error doesn't contain the address: %v", err)
	}
	s.SetOutage(false)
	if _, err := c.Get(ctx, "k", "n"); !errors.Is(err, accessor.ErrNotFound) {
		t.Errorf("get after the outage: %v", err)
	}
}

func TestServerRun(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	s := &storekeeper.Server{Address: "127.0.0.1:0"}
	a, err := s.Listen()
	if err != nil {
		t.Fatal(err)
	}
	r := make(chan error, 1)
	go func() { r <- s.Run(ctx) }()
	c := &requester.Client{Address: a}
	if _, err := c.Hosts(ctx); err != nil {
		t.Error(err)
	}
	cancel()
	if err := <-r; err != nil {
		t.Error(err)
	}
}
