package runner

import (
	"context"
	"time"

	"github.com/cuminwick/cuminwick/internal/config/defaulter"
	"github.com/cuminwick/cuminwick/internal/log/encoder"
)

const (
	// expireInterval is the time between two deletions of old keys.
	expireInterval = 10 * time.Minute
	// expireTimeout bounds one deletion.
	expireTimeout = time.Minute
)

// loopExpire periodically deletes old idempotency keys of the group until ctx ends.
func (p *groupRunner) loopExpire(ctx context.Context) {
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

// expire deletes old idempotency keys if this host owns the primary's pool, so that only one host
// does so.
func (p *groupRunner) expire(ctx context.Context) {
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

// retention returns how long idempotency keys are kept.
func (h *Host) retention() time.Duration {
	if d := h.limits().OutcomeRetention; d > 0 {
		return d
	}
	return defaulter.OutcomeRetention
}
