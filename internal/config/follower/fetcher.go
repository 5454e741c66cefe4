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

// fetchTimeout bounds the wait for a file that its operator hasn't stored yet.
const fetchTimeout = 10 * time.Second

// fetch gets the file of r by what came with the head, or from the platform or a peer.
func (h *Host) fetch(ctx context.Context, r declarer.Revision) error {
	c, cancel := h.fetching(ctx, r)
	defer cancel()
	b := h.base(r)
	f := h.fromHead(b, r)
	var err error
	if f == nil {
		f, err = h.find(c, b, r)
	}
	if errors.Is(c.Err(), context.Canceled) && ctx.Err() == nil {
		// Another revision is wanted by now.
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
	h.announce()
	h.settle()
	return nil
}

// unusable reports whether err is of a file that was got and can't be put in force here.
func unusable(err error) bool {
	return errors.Is(err, encoder.ErrDigest) || errors.Is(err, encoder.ErrUnreadable)
}

// base is the file that a change may start from.
type base struct {
	revision declarer.Revision
	held     *held
	// digest is what the change has to lead to.
	digest string
}

// known returns the revision of the base, zero if there is none or if the file to
// be made of it couldn't be checked against the head.
func (b base) known() declarer.Revision {
	if b.held == nil || b.digest == "" {
		return 0
	}
	return b.revision
}

// base returns the file in force, to make r's file of it.
func (h *Host) base(r declarer.Revision) base {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.state.InForce
	return base{revision: n, held: h.files[n], digest: h.digests[r]}
}

// fromHead makes r's file of the change that came with the head, nil if none did or
// if it doesn't lead there.
func (h *Host) fromHead(b base, r declarer.Revision) *held {
	h.mu.Lock()
	c := h.change
	h.mu.Unlock()
	if b.known() == 0 || !c.Matches(b.revision, r) {
		return nil
	}
	f, err := b.apply(c)
	if err != nil {
		h.Log.WithError(err).WithField("revision", uint64(r)).Warn("change in the head doesn't lead to its revision")
		return nil
	}
	return f
}

// find looks for the file of r where an answer is likeliest first.
func (h *Host) find(ctx context.Context, b base, r declarer.Revision) (*held, error) {
	if l := h.following(); l != "" {
		if f, err := h.fromRelay(ctx, l, b, r); err == nil || unusable(err) {
			return f, err
		}
	}
	w, err := h.whole(ctx, r)
	if err != nil {
		return nil, err
	}
	return b.unpack(w)
}

// fromRelay takes r's file from a relay, as a change if there is a base for it. A
// change that doesn't lead there is no fault of the revision: the whole file is
// asked for.
func (h *Host) fromRelay(ctx context.Context, relay string, b base, r declarer.Revision) (*held, error) {
	d, err := h.Relays.FetchFrom(ctx, relay, r, b.known())
	if err == nil && d.Change != nil {
		f, e := b.accept(d.Change, r)
		if e == nil {
			return f, nil
		}
		h.Log.WithError(e).WithField("relay", relay).Warn("change of a relay doesn't lead to its revision")
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

// accept makes r's file of a change that was asked for.
func (b base) accept(c *encoder.Change, r declarer.Revision) (*held, error) {
	if b.known() == 0 || !c.Matches(b.revision, r) {
		return nil, errors.Annotatef(changer.ErrMismatch, "from %d to %d", c.Base, c.Revision)
	}
	return b.apply(c)
}

// whole gets r's whole file from the platform or a peer.
func (h *Host) whole(ctx context.Context, r declarer.Revision) (encoder.Body, error) {
	if h.Peers == nil {
		return h.get(ctx, r)
	}
	if !h.Watcher.FailingSince().IsZero() {
		if b, err := h.Peers.Fetch(ctx, r); err == nil {
			return b, nil
		}
	}
	b, err := h.get(ctx, r)
	if err == nil || ctx.Err() != nil {
		return b, err
	}
	return h.Peers.Fetch(ctx, r)
}

// fetching returns a context that ends when another revision is wanted, so that
// the wait for a file that is never stored doesn't hold up the next one.
func (h *Host) fetching(ctx context.Context, r declarer.Revision) (context.Context, context.CancelFunc) {
	h.mu.Lock()
	defer h.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	h.wanted = r
	h.cancel = cancel
	if h.state.Wanted() != r {
		cancel()
	}
	return ctx, cancel
}

// get reads the slot of r, and waits while its operator hasn't written it yet.
func (h *Host) get(ctx context.Context, r declarer.Revision) (encoder.Body, error) {
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
