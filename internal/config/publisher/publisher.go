// Package publisher executes an operator's configuration commands against the platform.
package publisher

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/config/applier"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/defaulter"
	"github.com/cuminwick/cuminwick/internal/config/differ"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// Bounds of the pauses between reads of the hosts' objects, and of the clean-up after an interruption.
const (
	minimumPause   = 10 * time.Millisecond
	maximumPause   = 500 * time.Millisecond
	cleanupTimeout = 10 * time.Second
	// maximumFailurePause bounds the pause between calls while the platform fails.
	maximumFailurePause = 5 * time.Second
)

// ErrNotKept is returned for a revision whose file isn't stored: its slot is empty or holds another
// revision.
const ErrNotKept = errors.ConstError("revision isn't kept")

// Operator executes commands on behalf of an operator.
type Operator struct {
	Platform accessor.Platform
	// Name identifies the operator in the entries of the revisions that it stages.
	Name string
	// AcknowledgementTimeout is how long to wait for hosts, applier.DefaultAcknowledgementTimeout
	// if unset.
	AcknowledgementTimeout time.Duration
	// Progress is called whenever the progress of a command changes; it may be nil.
	Progress func(Progress)

	// lastRead is the file that was read last. A caller that shows a preview has already read the
	// file in force. Reading it again between the read and the put of the head would leave other
	// operators more time to put the head first.
	lastRead atomic.Pointer[revisionFile]
}

// revisionFile is a revision's file as read from the platform.
type revisionFile struct {
	revision declarer.Revision
	digest   string
	file     declarer.File
}

// Progress describes the progress of a command.
type Progress struct {
	Revision declarer.Revision `json:"revision"`
	Accepted bool              `json:"accepted"`
	Zones    []applier.Zone    `json:"zones,omitempty"`
	// PlatformError is the error of the last call to the platform, empty if it succeeded.
	PlatformError string `json:"trouble,omitempty"`
}

// Options holds the options of Apply.
type Options struct {
	// From is the revision that the file was edited from. If CheckFrom is set and From isn't the
	// accepted revision, Apply ends with applier.Conflict. If CheckFrom is unset, the file's
	// EditedFrom is checked unless it is zero.
	From      declarer.Revision
	CheckFrom bool
	// Note is stored in the entry of the revision.
	Note string
}

// Apply puts f in force, or leaves the configuration unchanged and returns why. If ctx ends before the
// revision is accepted, it is withdrawn.
func (o *Operator) Apply(ctx context.Context, f declarer.File, p Options) (applier.Result, error) {
	from, check := p.From, p.CheckFrom
	if !check && f.EditedFrom != 0 {
		from, check = f.EditedFrom, true
	}
	f = defaulter.Fill(f)
	packed, digest, err := encoder.Pack(f)
	if err != nil {
		return applier.Result{}, err
	}
	r := &run{operator: o, packed: packed, file: &f, stateMachine: applier.Operator{
		Mode:                   applier.Apply,
		ID:                     newID(),
		Base:                   from,
		CheckBase:              check,
		HasFile:                true,
		AcknowledgementTimeout: o.AcknowledgementTimeout,
	}}
	r.stateMachine.Entry = encoder.Entry{
		Operator: o.Name,
		Digest:   digest,
		StagedAt: time.Now().UTC().Truncate(time.Second),
		Note:     p.Note,
	}
	return r.run(ctx)
}

// Resume continues with the revision that another operator has staged.
func (o *Operator) Resume(ctx context.Context) (applier.Result, error) {
	r := &run{operator: o, stateMachine: applier.Operator{Mode: applier.Resume, ID: newID(), AcknowledgementTimeout: o.AcknowledgementTimeout}}
	return r.run(ctx)
}

// Withdraw removes the staged revision, whichever operator staged it.
func (o *Operator) Withdraw(ctx context.Context) (applier.Result, error) {
	r := &run{operator: o, stateMachine: applier.Operator{Mode: applier.Withdraw, ID: newID(), AcknowledgementTimeout: o.AcknowledgementTimeout}}
	return r.run(ctx)
}

// Head reads which revision is accepted and which one is staged.
func (o *Operator) Head(ctx context.Context) (encoder.Head, error) {
	h, _, err := o.head(ctx)
	return h, err
}

func (o *Operator) head(ctx context.Context) (encoder.Head, accessor.Version, error) {
	b, err := o.Platform.Get(ctx, encoder.HeadKind, encoder.HeadName)
	if err != nil && !errors.Is(err, accessor.ErrNotFound) {
		return encoder.Head{}, 0, errors.Trace(err)
	}
	h, err := encoder.Decode[encoder.Head](b)
	return h, b.Version, err
}

// File reads the file of revision r; revision zero is an empty file. It returns ErrNotKept if the file
// isn't stored.
func (o *Operator) File(ctx context.Context, r declarer.Revision) (declarer.File, error) {
	if r == 0 {
		return declarer.File{}, nil
	}
	b, err := o.Platform.Get(ctx, encoder.BodyKind, encoder.Slot(r))
	if errors.Is(err, accessor.ErrNotFound) {
		return declarer.File{}, errors.Annotatef(ErrNotKept, "revision %d", r)
	}
	if err != nil {
		return declarer.File{}, errors.Trace(err)
	}
	d, err := encoder.Decode[encoder.Body](b)
	if err != nil {
		return declarer.File{}, err
	}
	if d.Revision != r {
		return declarer.File{}, errors.Annotatef(ErrNotKept, "revision %d", r)
	}
	f, err := encoder.Unpack(d)
	if err != nil {
		return declarer.File{}, err
	}
	f.EditedFrom = r
	o.lastRead.Store(&revisionFile{revision: r, digest: d.Digest, file: *f})
	return *f, nil
}

// Preview returns the changes that f would make, and the accepted revision that it was compared with.
// While the platform fails, it retries until ctx ends.
func (o *Operator) Preview(ctx context.Context, f declarer.File) ([]differ.Change, declarer.Revision, error) {
	pause := minimumPause
	for {
		l, r, err := o.preview(ctx, f)
		if err == nil || ctx.Err() != nil || errors.Is(err, ErrNotKept) {
			return l, r, err
		}
		if o.Progress != nil {
			o.Progress(Progress{PlatformError: err.Error()})
		}
		_ = scheduler.Pause(ctx, pause)
		pause = min(2*pause, maximumFailurePause)
	}
}

func (o *Operator) preview(ctx context.Context, f declarer.File) ([]differ.Change, declarer.Revision, error) {
	h, err := o.Head(ctx)
	if err != nil {
		return nil, 0, err
	}
	a, err := o.File(ctx, h.Accepted)
	if err != nil {
		return nil, 0, err
	}
	return differ.Diff(a, defaulter.Fill(f)), h.Accepted, nil
}

// Status describes the configuration of the whole deployment.
type Status struct {
	Head  encoder.Head     `json:"head"`
	Hosts []encoder.Holder `json:"hosts"`
	// Listed holds the state of each entry host in the platform's host list by name, nil if the list
	// can't be read.
	Listed map[string]accessor.HostState `json:"listed,omitempty"`
}

// Status reads the state of the configuration.
func (o *Operator) Status(ctx context.Context) (Status, error) {
	h, err := o.Head(ctx)
	if err != nil {
		return Status{}, err
	}
	l, err := o.Platform.List(ctx, encoder.HolderKind)
	if err != nil {
		return Status{}, errors.Trace(err)
	}
	n, err := encoder.DecodeHolders(l)
	if err != nil {
		return Status{}, err
	}
	s := Status{Head: h, Hosts: n}
	// The host list is only a hint, so the status is returned without it if it can't be read.
	if k, err := o.Platform.Hosts(ctx); err == nil {
		s.Listed = entryHostStates(k)
	}
	return s, nil
}

// entryHostStates returns the states of the entry hosts in l by name.
func entryHostStates(l []accessor.Host) map[string]accessor.HostState {
	m := map[string]accessor.HostState{}
	for _, h := range l {
		if h.Kind == accessor.EntryHost {
			m[h.Name] = h.State
		}
	}
	return m
}

// newID returns a random ID, by which a run recognises its own changes.
func newID() string {
	var b [12]byte
	// rand.Read never returns an error; it ends the process if no randomness is available.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
