package follower

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/config/changer"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// fetchTimeout bounds the wait for a file that the applying operator has not stored yet.
const fetchTimeout = 10 * time.Second

// fetch gets the file of r, made from the change in the head, or from a relay, the
// platform or a peer. A file that can't be put in force here is refused.
func (h *Host) fetch(ctx context.Context, r declarer.Revision) error {
	c, cancel := h.fetchContext(ctx, r)
	defer cancel()
	b := h.base(r)
	f := h.fromHead(b, r)
	var err error
	if f == nil {
		f, err = h.fetchFile(c, b, r)
	}
	if errors.Is(c.Err(), context.Canceled) && ctx.Err() == nil {
		// Another revision is wanted meanwhile.
		return nil
	}
	if err != nil && !unusable(err) {
		return errors.Annotatef(err, "fetch revision %d", r)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if d := h.digests[r]; err == nil && d != "" && d != f.digest {
		err = errors.Annotatef(encoder.ErrDigest, "revision %d", r)
	}
	if err != nil {
		h.state.MarkRefused(r, err.Error())
		return errors.Trace(err)
	}
	h.files[r] = f
	h.state.MarkFetched(r)
	h.notifyWaiters()
	h.publish()
	return nil
}

// unusable reports whether err concerns a file that was received but can't be put in
// force here.
func unusable(err error) bool {
	return errors.Is(err, encoder.ErrDigest) || errors.Is(err, encoder.ErrUnreadable)
}

// base is the file in force, from which a change may make the next one.
type base struct {
	revision declarer.Revision
	current  *revisionFile
	// digest is the digest that the head states for the wanted file, empty if unknown.
	digest string
}

// changeBase returns the revision of the base, zero if there is no base or if no digest
// is known to check the resulting file against.
func (b base) changeBase() declarer.Revision {
	if b.current == nil || b.digest == "" {
		return 0
	}
	return b.revision
}

// base returns the file in force as the base for making the file of r.
func (h *Host) base(r declarer.Revision) base {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.state.InForce
	return base{revision: n, current: h.files[n], digest: h.digests[r]}
}

// fromHead makes the file of r from the change in the latest head. It returns nil if the
// head has none for b and r, or if the result has another digest.
func (h *Host) fromHead(b base, r declarer.Revision) *revisionFile {
	h.mu.Lock()
	c := h.headChange
	h.mu.Unlock()
	if b.changeBase() == 0 || !c.Matches(b.revision, r) {
		return nil
	}
	f, err := b.apply(c)
	if err != nil {
		h.Log.WithError(err).WithField("revision", uint64(r)).Warn("change in the head doesn't produce its revision")
		return nil
	}
	return f
}

// fetchFile gets the file of r from the relay in use, or else as a whole from the
// platform or a peer.
func (h *Host) fetchFile(ctx context.Context, b base, r declarer.Revision) (*revisionFile, error) {
	if l := h.currentRelay(); l != "" {
		if f, err := h.fromRelay(ctx, l, b, r); err == nil || unusable(err) {
			return f, err
		}
	}
	w, err := h.fetchWhole(ctx, r)
	if err != nil {
		return nil, err
	}
	return b.unpack(w)
}

// fromRelay gets the file of r from a relay, as a change if there is a base for it. A
// change that doesn't produce the file doesn't make the revision unusable: the whole
// file is requested then.
func (h *Host) fromRelay(ctx context.Context, relay string, b base, r declarer.Revision) (*revisionFile, error) {
	d, err := h.Relays.FetchFrom(ctx, relay, r, b.changeBase())
	if err == nil && d.Change != nil {
		f, e := b.applyRequested(d.Change, r)
		if e == nil {
			return f, nil
		}
		h.Log.WithError(e).WithField("relay", relay).Warn("change from a relay doesn't produce its revision")
		d, err = h.Relays.FetchFrom(ctx, relay, r, 0)
	}
	if err != nil {
		return nil, err
	}
	if d.Body == nil {
		return nil, errors.Annotatef(changer.ErrMismatch, "revision %d at relay %s", r, relay)
	}
	return b.unpack(*d.Body)
}

// applyRequested makes the file of r from a change received on request, and returns
// changer.ErrMismatch if the change isn't from b to r.
func (b base) applyRequested(c *encoder.Change, r declarer.Revision) (*revisionFile, error) {
	if b.changeBase() == 0 || !c.Matches(b.revision, r) {
		return nil, errors.Annotatef(changer.ErrMismatch, "from %d to %d", c.Base, c.Revision)
	}
	return b.apply(c)
}

// fetchWhole gets the whole file of r from the platform or a peer. Peers are asked first
// while the platform fails.
func (h *Host) fetchWhole(ctx context.Context, r declarer.Revision) (encoder.Body, error) {
	if h.Peers == nil {
		return h.getFromPlatform(ctx, r)
	}
	if !h.Watcher.FailingSince().IsZero() {
		if b, err := h.Peers.Fetch(ctx, r); err == nil {
			return b, nil
		}
	}
	b, err := h.getFromPlatform(ctx, r)
	if err == nil || ctx.Err() != nil {
		return b, err
	}
	return h.Peers.Fetch(ctx, r)
}

// fetchContext returns a context that ends after fetchTimeout or when another revision
// is wanted, so that waiting for a file that is never stored doesn't delay the next one.
func (h *Host) fetchContext(ctx context.Context, r declarer.Revision) (context.Context, context.CancelFunc) {
	h.mu.Lock()
	defer h.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	h.wanted = r
	h.cancelFetch = cancel
	if h.state.Wanted() != r {
		cancel()
	}
	return ctx, cancel
}

// getFromPlatform reads the slot of r and waits while its file isn't stored yet. It
// returns encoder.ErrOtherRevision if the slot holds a later revision.
func (h *Host) getFromPlatform(ctx context.Context, r declarer.Revision) (encoder.Body, error) {
	var v accessor.Version
	for {
		o, err := h.Platform.Watch(ctx, encoder.BodyKind, encoder.Slot(r), v)
		if err != nil {
			return encoder.Body{}, errors.Trace(err)
		}
		b, err := encoder.Decode[encoder.Body](o)
		if err != nil || b.Revision == r {
			return b, err
		}
		if b.Revision > r {
			return b, errors.Annotatef(encoder.ErrOtherRevision, "slot of revision %d holds %d", r, b.Revision)
		}
		v = o.Version
	}
}
