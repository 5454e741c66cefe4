package relaydialer

import (
	"context"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// ways answers by what each way is set to.
type ways struct {
	mu     sync.Mutex
	direct error
	via    map[string]error
	asked  []string
}

// end is a connection that only counts its closing.
type end struct {
	connpooler.Connection
	closed bool
}

func (e *end) Close() { e.closed = true }

func (w *ways) answer(way string, err error) (connpooler.Connection, marker.Mark, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asked = append(w.asked, way)
	if err != nil {
		return nil, marker.Mark{}, err
	}
	return &end{}, marker.Mark{}, nil
}

func (w *ways) Dial(context.Context, declarer.Server) (connpooler.Connection, marker.Mark, error) {
	return w.answer("direct", w.direct)
}

func (w *ways) DialVia(_ context.Context, host string, _ declarer.Server) (connpooler.Connection, marker.Mark, error) {
	return w.answer(host, w.via[host])
}

func (w *ways) CheckServer(_ context.Context, host string, _ declarer.Server, _ Check) error {
	return w.via[host]
}

func hosts(names ...string) func() []declarer.Host {
	return func() []declarer.Host {
		var l []declarer.Host
		for _, n := range names {
			l = append(l, declarer.Host{Name: n, Address: n})
		}
		return l
	}
}

func TestDial(t *testing.T) {
	noWay := errors.WithType(errors.New("timeout"), connpooler.ErrNoRoute)
	for name, c := range map[string]struct {
		direct error
		via    map[string]error
		hosts  []string
		want   error
	}{
		"direct": {},
		// The primary is cut from this host, and from another one.
		"through another host":        {direct: noWay, via: map[string]error{"h1": connpooler.ErrNoRouteAnywhere}, hosts: []string{"h1", "h2"}},
		"nobody to ask":               {direct: noWay, want: connpooler.ErrNoRoute},
		"others can't be asked":       {direct: noWay, via: map[string]error{"h1": noWay, "h2": noWay}, hosts: []string{"h1", "h2"}, want: connpooler.ErrNoRoute},
		"others have no way":          {direct: noWay, via: map[string]error{"h1": connpooler.ErrNoRouteAnywhere, "h2": noWay}, hosts: []string{"h1", "h2"}, want: connpooler.ErrNoRoute},
		"crowded, as seen from there": {direct: noWay, via: map[string]error{"h1": connpooler.ErrTooManyConnections}, hosts: []string{"h1"}, want: connpooler.ErrTooManyConnections},
		"crowded, as seen from here":  {direct: connpooler.ErrTooManyConnections, hosts: []string{"h1"}, want: connpooler.ErrTooManyConnections},
		"another server there":        {direct: connpooler.ErrConnectionRejected, hosts: []string{"h1"}, want: connpooler.ErrConnectionRejected},
		"no process listens":          {direct: errors.WithType(syscall.ECONNREFUSED, connpooler.ErrNoRoute), hosts: []string{"h1"}, want: syscall.ECONNREFUSED},
	} {
		t.Run(name, func(t *testing.T) {
			w := &ways{direct: c.direct, via: c.via}
			d := &Dialer{Transport: w, Hosts: hosts(c.hosts...)}
			_, _, err := d.Dial(t.Context(), declarer.Server{ID: "i"})
			if c.want == nil && err != nil || c.want != nil && !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
		})
	}
}

// The direct way stays cut for seconds. Each connection would wait for it in vain.
func TestCutWayIsLeftAloneForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &ways{direct: connpooler.ErrNoRoute}
		d := &Dialer{Transport: w, Hosts: hosts("h1")}
		for range 3 {
			if _, _, err := d.Dial(t.Context(), declarer.Server{ID: "i"}); err != nil {
				t.Fatal(err)
			}
		}
		n := 0
		for _, a := range w.asked {
			if a == "direct" {
				n++
			}
		}
		if n != 1 {
			t.Errorf("the direct way was tried %d times", n)
		}
	})
}

// A host that is cut off from a primary doesn't replace it on its own word, nor where
// any other host hears from it: what is written there would be dropped.
func TestLost(t *testing.T) {
	silent := errors.New("timeout")
	for name, c := range map[string]struct {
		via  map[string]error
		want bool
	}{
		"nobody to ask":     {},
		"nobody answers":    {via: map[string]error{"h1": silent, "h2": silent}},
		"one hears it":      {via: map[string]error{"h1": connpooler.ErrNoRouteAnywhere, "h2": connpooler.ErrServerAlive, "h3": connpooler.ErrNoRouteAnywhere}},
		"nobody hears it":   {via: map[string]error{"h1": connpooler.ErrNoRouteAnywhere, "h2": connpooler.ErrNoRouteAnywhere}, want: true},
		"one answers, lost": {via: map[string]error{"h1": silent, "h2": connpooler.ErrNoRouteAnywhere}, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			var l []string
			for h := range c.via {
				l = append(l, h)
			}
			d := &Dialer{Transport: &ways{via: c.via}, Hosts: hosts(l...)}
			if got := d.CheckRemotely(t.Context(), declarer.Server{ID: "i"}, CheckReachable) == VerdictDown; got != c.want {
				t.Errorf("lost %t, want %t", got, c.want)
			}
		})
	}
}

func TestAnswers(t *testing.T) {
	w := &ways{via: map[string]error{"h1": connpooler.ErrNoRouteAnywhere, "h2": connpooler.ErrServerAlive, "h3": errors.New("timeout")}}
	d := &Dialer{Transport: w, Hosts: hosts("h1", "h2", "h3")}
	for h, want := range map[string]bool{"h1": true, "h2": true, "h3": false, "h4": false} {
		if got := d.HostResponds(t.Context(), h, declarer.Server{ID: "i"}); got != want {
			t.Errorf("%s answers: %t, want %t", h, got, want)
		}
	}
}

// slow is a way on which nothing is answered before the time is up.
type slow struct{ ways }

func (s *slow) DialVia(ctx context.Context, _ string, _ declarer.Server) (connpooler.Connection, marker.Mark, error) {
	<-ctx.Done()
	return nil, marker.Mark{}, ctx.Err()
}

// A primary goes dark. The time of the first probe is over before the other hosts have
// tried in vain themselves. Were they taken for gone, nobody could be asked for their
// word, and the primary wouldn't be replaced for as long as they are left alone.
func TestHostAskedLateIsNotTakenForGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &slow{ways{direct: connpooler.ErrNoRoute, via: map[string]error{"h1": connpooler.ErrNoRouteAnywhere}}}
		d := &Dialer{Transport: w, Hosts: hosts("h1")}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, _, err := d.Dial(ctx, declarer.Server{ID: "i"}); err == nil {
			t.Fatal("connected")
		}
		if len(d.pick(1)) != 1 {
			t.Error("the host isn't asked any more")
		}
		if d.CheckRemotely(t.Context(), declarer.Server{ID: "i"}, CheckReachable) != VerdictDown {
			t.Error("the host's word isn't heard")
		}
	})
}
