// Package publisher carries out an operator's commands at the platform.
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

// Bounds of the pauses between looks at the hosts, and of the clean-up after
// an interruption.
const (
	minimumPause   = 10 * time.Millisecond
	maximumPause   = 500 * time.Millisecond
	cleanupTimeout = 10 * time.Second
	// maximumFailurePause spaces calls while the platform fails.
	maximumFailurePause = 5 * time.Second
)

// ErrNotKept says that a revision's file isn't kept any more, or never was.
const ErrNotKept = errors.ConstError("revision isn't kept")

// Operator carries out commands in an operator's name.
type Operator struct {
	Platform accessor.Platform
	// Name is shown to others as who did it.
	Name string
	// AcknowledgementTimeout is how long to wait for hosts, applier.DefaultLapse if unset.
	AcknowledgementTimeout time.Duration
	// Progress is told of each change in how far the command has got; it may be nil.
	Progress func(Progress)

	// last is the file that was read last. Who shows what a file changes has read the
	// one in force already, so that it needn't be read again between the look at the
	// head and the put, when another operator may come first.
	last atomic.Pointer[revisionFile]
}

// revisionFile is a revision's file as it was revisionFile.
type revisionFile struct {
	revision declarer.Revision
	digest   string
	file     declarer.File
}

// Progress is how far a command has got.
type Progress struct {
	Revision declarer.Revision `json:"revision"`
	Accepted bool              `json:"accepted"`
	Zones    []applier.Zone    `json:"zones,omitempty"`
	// PlatformError is what the platform answered last, empty if it answers well.
	PlatformError string `json:"trouble,omitempty"`
}

// Options say how a file is applied.
type Options struct {
	// From is the revision that the file was edited from, checked if CheckFrom is set.
	From      declarer.Revision
	CheckFrom bool
	// Note is kept with the revision.
	Note string
}

// Apply brings f into force, or leaves everything as it was and says why. Once
// ctx ends, what isn't accepted yet is withdrawn.
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
		At:       time.Now().UTC().Truncate(time.Second),
		Note:     p.Note,
	}
	return r.run(ctx)
}

// Resume goes on with what another operator has staged.
func (o *Operator) Resume(ctx context.Context) (applier.Result, error) {
	r := &run{operator: o, stateMachine: applier.Operator{Mode: applier.Resume, ID: newID(), AcknowledgementTimeout: o.AcknowledgementTimeout}}
	return r.run(ctx)
}

// Withdraw takes back what is staged, whoever staged it.
func (o *Operator) Withdraw(ctx context.Context) (applier.Result, error) {
	r := &run{operator: o, stateMachine: applier.Operator{Mode: applier.Withdraw, ID: newID(), AcknowledgementTimeout: o.AcknowledgementTimeout}}
	return r.run(ctx)
}

// Head reads what is accepted and staged.
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

// File reads the file of revision r; revision zero is an empty file.
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
	o.last.Store(&revisionFile{revision: r, digest: d.Digest, file: *f})
	return *f, nil
}

// Preview returns what f would change, and the revision that it was compared
// with. While the platform doesn't answer it waits until ctx ends.
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

// Status is the state of the whole deployment's configuration.
type Status struct {
	Head  encoder.Head     `json:"head"`
	Hosts []encoder.Holder `json:"hosts"`
	// Listed holds the entry hosts of the platform's host list by name.
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
	n, err := encoder.Holders(l)
	if err != nil {
		return Status{}, err
	}
	s := Status{Head: h, Hosts: n}
	// The host list is only a hint; the rest is shown without it.
	if k, err := o.Platform.Hosts(ctx); err == nil {
		s.Listed = listed(k)
	}
	return s, nil
}

func listed(l []accessor.Host) map[string]accessor.HostState {
	m := map[string]accessor.HostState{}
	for _, h := range l {
		if h.Kind == accessor.EntryHost {
			m[h.Name] = h.State
		}
	}
	return m
}

// newID returns a random id, by which a writer knows its own changes.
func newID() string {
	var b [12]byte
	// It never fails, and ends the process where there is no randomness.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
