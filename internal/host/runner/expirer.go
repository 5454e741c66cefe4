package runner

import (
	"context"
	"time"

	"github.com/cuminwick/cuminwick/internal/config/defaulter"
	"github.com/cuminwick/cuminwick/internal/log/encoder"
)

const (
	// expireInterval is the time between two looks for old keys.
	expireInterval = 10 * time.Minute
	// expireTimeout bounds one look.
	expireTimeout = time.Minute
)

// loopExpire forgets old idempotency keys of the group, at the one host that
// owns the primary's pool.
func (p *part) loopExpire(ctx context.Context) {
	defer p.reconciler.wait.Done()
	t, x := p.reconciler.host.Clock.Ticks(expireInterval)
	defer x.Cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t:
			p.expire(ctx)
		}
	}
}

func (p *part) expire(ctx context.Context) {
	h := p.reconciler.host
	n := p.group.group.Declared.Name
	v := p.group.group.Driver.View()
	if !v.Confirmed || h.peers != nil && h.PoolOwner(n, v.Primary) != h.Settings.HostName {
		return
	}
	c, cancel := context.WithTimeout(ctx, expireTimeout)
	defer cancel()
	if err := h.director.Expire(c, n, time.Now(), h.retention()); err != nil {
		encoder.LogError(h.Log, err, "old idempotency keys kept")
	}
}

// retention returns how long keys are kept.
func (h *Host) retention() time.Duration {
	if d := h.limits().OutcomeRetention; d > 0 {
		return d
	}
	return defaulter.OutcomeRetention
}
