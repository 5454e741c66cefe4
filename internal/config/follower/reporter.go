package follower

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/config/adopter"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// retireTimeout bounds each call by which a host ends a registration.
const retireTimeout = time.Second

// report reports r through the relay, or by writing the host's own object if there is no
// relay, and then releases registrations that the host doesn't need any more.
func (h *Host) report(ctx context.Context, r adopter.Report) error {
	var err error
	if l := h.currentRelay(); l != "" {
		err = h.reportToRelay(ctx, l, r)
	} else {
		err = h.putObject(ctx, r)
	}
	if err == nil {
		h.releaseOldRegistrations(ctx)
	}
	return err
}

// putObject writes the host's own object with r and the members of this host as a relay.
// A host that has no object claims one first.
func (h *Host) putObject(ctx context.Context, r adopter.Report) error {
	if h.object.Name == "" {
		if err := h.claimObject(ctx); err != nil {
			return err
		}
	}
	o := h.object
	d := h.newHolder(r)
	h.mu.Lock()
	asked := h.clock.now()
	d.Members = h.summary.BeginPut()
	h.mu.Unlock()
	v, err := encoder.Encode(d)
	if err != nil {
		return err
	}
	o.Value = v
	o.Writer = h.Name + "/" + h.Incarnation
	p, err := h.Platform.Put(ctx, o)
	if err != nil {
		h.reloadObject(ctx)
		return errors.Trace(err)
	}
	h.object = p
	h.reportedAt = time.Now()
	return h.recordPut(ctx, r, asked)
}

// newHolder returns the host's own entry for r, without members.
func (h *Host) newHolder(r adopter.Report) encoder.Holder {
	return encoder.Holder{
		Host:             h.Name,
		Incarnation:      h.Incarnation,
		AvailabilityZone: h.AvailabilityZone,
		Ready:            r.Ready,
		Refused:          r.Refused,
		Reason:           r.Reason,
		InForce:          r.InForce,
		ReportedAt:       time.Now().UTC().Truncate(time.Millisecond),
	}
}

// recordPut records a successful put of the host's object, for which asked was read from
// the clock before. If the put registered this host or one that reports through it, the
// head is read once more, because only a confirmation after the registration counts.
func (h *Host) recordPut(ctx context.Context, r adopter.Report, asked time.Duration) error {
	h.mu.Lock()
	now := h.clock.now()
	before := h.state.Standing(now)
	h.state.ProcessReceipt(adopter.Receipt{Report: r, AskedAt: asked, Fresh: true}, now)
	after := h.state.Standing(now)
	fresh := h.summary.CompletePut()
	h.storedAt = now
	if !fresh {
		h.notifyWaiters()
	}
	h.mu.Unlock()
	if !fresh && (before != adopter.Unconfirmed || after != adopter.Unconfirmed) {
		return nil
	}
	defer h.lockAndNotifyWaiters()
	t := time.Now()
	o, err := h.Platform.Get(ctx, encoder.HeadKind, encoder.HeadName)
	if errors.Is(err, accessor.ErrNotFound) {
		o, err = accessor.Object{}, nil
	}
	if err != nil {
		return errors.Trace(err)
	}
	h.recordHead(o, t)
	return nil
}

// lockAndNotifyWaiters is notifyWaiters for callers that don't hold h.mu.
func (h *Host) lockAndNotifyWaiters() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notifyWaiters()
}

// reloadObject reads the host's object back after a failed put: the put may have
// succeeded and its answer been lost, or an operator may have freed the object.
func (h *Host) reloadObject(ctx context.Context) {
	h.mu.Lock()
	h.state.MarkUnregistered()
	h.mu.Unlock()
	o, err := h.Platform.Get(ctx, encoder.HolderKind, h.object.Name)
	if err != nil {
		// The next put is based on an outdated version, fails and calls reloadObject again.
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.notifyWaiters()
	d, err := encoder.Decode[encoder.Holder](o)
	if err != nil || d.Retired || d.Left || d.Host != h.Name || d.Incarnation != h.Incarnation {
		h.object = accessor.Object{}
		h.summary.Reset()
		return
	}
	h.object = o
	h.summary.ReadBack(d.Members, h.clock.now())
}

// claimObject makes an object of the zone that has no host, or that is this host's
// already, the host's own, with the members that it still holds. If there is none it
// uses the first free name.
func (h *Host) claimObject(ctx context.Context) error {
	l, err := h.Platform.List(ctx, encoder.HolderKind)
	if err != nil {
		return errors.Annotate(err, "list hosts' objects")
	}
	names := map[string]bool{}
	for _, o := range l {
		names[o.Name] = true
		d, err := encoder.Decode[encoder.Holder](o)
		own := d.Host == h.Name && d.Incarnation == h.Incarnation
		if err == nil && d.AvailabilityZone == h.AvailabilityZone && (d.Retired || d.Left || own) {
			h.setObject(o, d)
			return nil
		}
	}
	i := 0
	for names[fmt.Sprintf("%s.%d", h.AvailabilityZone, i)] {
		i++
	}
	h.setObject(accessor.Object{Kind: encoder.HolderKind, Name: fmt.Sprintf("%s.%d", h.AvailabilityZone, i)}, encoder.Holder{})
	return nil
}

// setObject makes o, which decodes to d, this host's object.
func (h *Host) setObject(o accessor.Object, d encoder.Holder) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.object = o
	h.objectCount++
	if !d.Retired && len(d.Members) > 0 {
		h.summary.ReadBack(d.Members, h.clock.now())
	}
}

// retireObject frees the host's object, so that no operator waits for this host. An object
// that still holds members is marked as left instead, for another host to take over with
// them: if it were freed, the members would continue although they were not registered.
func (h *Host) retireObject(ctx context.Context) {
	if h.object.Version == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, retireTimeout)
	defer cancel()
	d := h.newHolder(h.currentReport())
	h.mu.Lock()
	d.Members = h.summary.BeginPut()
	h.mu.Unlock()
	d.Left = len(d.Members) > 0
	d.Retired = !d.Left
	v, err := encoder.Encode(d)
	if err != nil {
		return
	}
	o := h.object
	o.Value = v
	if _, err := h.Platform.Put(ctx, o); err != nil {
		// An operator frees the object after the time for which it waits for hosts.
		h.Log.WithError(err).Warn("holder object not freed")
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.object = accessor.Object{}
	h.summary.Reset()
	h.notifyWaiters()
}
