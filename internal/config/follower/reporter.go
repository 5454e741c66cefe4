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

// retireTimeout bounds the last call of a host that stops.
const retireTimeout = time.Second

// report tells the platform or the relay, and then gives up what the host
// doesn't count on any more.
func (h *Host) report(ctx context.Context, r adopter.Report) error {
	var err error
	if l := h.following(); l != "" {
		err = h.reportThrough(ctx, l, r)
	} else {
		err = h.put(ctx, r)
	}
	if err == nil {
		h.release(ctx)
	}
	return err
}

// put writes the host's object. A host that has none takes one first.
func (h *Host) put(ctx context.Context, r adopter.Report) error {
	if h.object.Name == "" {
		if err := h.claim(ctx); err != nil {
			return err
		}
	}
	o := h.object
	d := h.holder(r)
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
		h.lose(ctx)
		return errors.Trace(err)
	}
	h.object = p
	h.reportedAt = time.Now()
	return h.reported(ctx, r, asked)
}

func (h *Host) holder(r adopter.Report) encoder.Holder {
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

// reported takes in a put that was answered. After a registration, of this host
// or of one that reports through it, the head is read once more, because only a
// later confirmation counts.
func (h *Host) reported(ctx context.Context, r adopter.Report, asked time.Duration) error {
	h.mu.Lock()
	now := h.clock.now()
	before := h.state.Standing(now)
	h.state.ProcessReceipt(adopter.Receipt{Report: r, AskedAt: asked, Fresh: true}, now)
	after := h.state.Standing(now)
	fresh := h.summary.CompletePut()
	h.storedAt = now
	if !fresh {
		h.announce()
	}
	h.mu.Unlock()
	if !fresh && (before != adopter.Unconfirmed || after != adopter.Unconfirmed) {
		return nil
	}
	defer h.tellNews()
	t := time.Now()
	o, err := h.Platform.Get(ctx, encoder.HeadKind, encoder.HeadName)
	if errors.Is(err, accessor.ErrNotFound) {
		o, err = accessor.Object{}, nil
	}
	if err != nil {
		return errors.Trace(err)
	}
	h.see(o, t)
	return nil
}

func (h *Host) tellNews() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.announce()
}

// lose finds out what became of the host's object after a put that failed: the
// answer may have been lost, or an operator has freed the object.
func (h *Host) lose(ctx context.Context) {
	h.mu.Lock()
	h.state.MarkUnregistered()
	h.mu.Unlock()
	o, err := h.Platform.Get(ctx, encoder.HolderKind, h.object.Name)
	if err != nil {
		// The next put is based on an old version and leads here again.
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.announce()
	d, err := encoder.Decode[encoder.Holder](o)
	if err != nil || d.Retired || d.Left || d.Host != h.Name || d.Incarnation != h.Incarnation {
		h.object = accessor.Object{}
		h.summary.Reset()
		return
	}
	h.object = o
	h.summary.ReadBack(d.Members, h.clock.now())
}

// claim takes an object of the zone that has no host any more, with the members
// that it still stands for, or the first free name.
func (h *Host) claim(ctx context.Context) error {
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
			h.take(o, d)
			return nil
		}
	}
	i := 0
	for names[fmt.Sprintf("%s.%d", h.AvailabilityZone, i)] {
		i++
	}
	h.take(accessor.Object{Kind: encoder.HolderKind, Name: fmt.Sprintf("%s.%d", h.AvailabilityZone, i)}, encoder.Holder{})
	return nil
}

// take makes o, which holds d, this host's object.
func (h *Host) take(o accessor.Object, d encoder.Holder) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.object = o
	h.claims++
	if !d.Retired && len(d.Members) > 0 {
		h.summary.ReadBack(d.Members, h.clock.now())
	}
}

// retire frees the host's object, so that no operator waits for it. As long as it
// stands for other hosts it is left to be taken over with them: were it freed, they
// would go on as if they still counted.
func (h *Host) retire(ctx context.Context) {
	if h.object.Version == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, retireTimeout)
	defer cancel()
	d := h.holder(h.toReport())
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
		// An operator frees it after the lapse.
		h.Log.WithError(err).Warn("host's object not freed")
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.object = accessor.Object{}
	h.summary.Reset()
	h.announce()
}
