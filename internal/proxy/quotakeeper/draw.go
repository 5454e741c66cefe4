package quotakeeper

import (
	"context"
	"time"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// draw is one round of questions to all other zones for tokens of a customer.
type draw struct {
	keeper   *Keeper
	customer string
	// done is closed at the end.
	done chan struct{}
	// nextAt is when the next one may begin. It is set at the end.
	nextAt time.Duration
}

// drawAndWait draws tokens of the customer, or waits for the draw under way, and reports whether one
// has ended. It doesn't wait if other zones have just been found without tokens.
func (k *Keeper) drawAndWait(ctx context.Context, customer string) bool {
	d := k.beginDraw(customer)
	if d == nil {
		return false
	}
	select {
	case <-d.done:
		return true
	case <-ctx.Done():
		return false
	}
}

// beginDraw returns the draw under way or begins one. It returns nil if it is too early for another.
func (k *Keeper) beginDraw(customer string) *draw {
	if len(k.Zones) < 2 {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if d := k.draws[customer]; d != nil {
		select {
		case <-d.done:
		default:
			return d
		}
		if k.Now() < d.nextAt {
			return nil
		}
	}
	d := &draw{keeper: k, customer: customer, done: make(chan struct{})}
	k.draws[customer] = d
	go d.run()
	return d
}

// run asks the other zones, all at the same time.
func (d *draw) run() {
	defer close(d.done)
	k := d.keeper
	m, ok := k.Limit(d.customer)
	if !ok {
		return
	}
	k.mu.Lock()
	n := k.limiter.Missing(d.customer, m, k.Now()) / float64(len(k.Zones)-1)
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), drawTimeout)
	defer cancel()
	results := make(chan float64, len(k.Zones))
	asked := 0
	for _, z := range k.Zones {
		if z == k.Zone {
			continue
		}
		asked++
		go (&question{keeper: k, zone: z, customer: d.customer, n: n, results: results}).run(ctx)
	}
	sum := 0.0
	for range asked {
		sum += <-results
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Now()
	k.limiter.Receive(d.customer, m, sum, now)
	if sum < 1 {
		d.nextAt = now + drawPause
	}
}

// question asks one zone for tokens.
type question struct {
	keeper   *Keeper
	zone     string
	customer string
	n        float64
	results  chan<- float64
}

func (q *question) run(ctx context.Context) {
	q.results <- q.ask(ctx)
}

// ask asks the first host of the zone that isn't skipped. Tokens whose answer is lost are lost.
func (q *question) ask(ctx context.Context) float64 {
	k := q.keeper
	h, ok := q.host()
	if !ok {
		return 0
	}
	l, err := k.peers.get(ctx, h)
	if err != nil {
		return 0
	}
	n, err := l.peer.Draw(ctx, q.customer, q.n)
	if err != nil {
		k.peers.fail(h.Name, l, err)
		return 0
	}
	k.Heard()
	return n
}

func (q *question) host() (declarer.Host, bool) {
	for _, h := range q.keeper.Counters(q.zone, q.customer) {
		if !q.keeper.peers.skipped(h.Name) {
			return h, true
		}
	}
	return declarer.Host{}, false
}
