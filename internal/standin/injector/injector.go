// Package injector holds the faults that are set on one stand-in backend server.
package injector

import (
	"context"
	"sync"
	"time"
)

// Settings are the faults that are set. The zero value sets none.
type Settings struct {
	// ReplicationLag is how long a replica waits after it received a record before it applies it.
	ReplicationLag time.Duration
	// ReplicationStopped keeps a replica from applying records; it still receives them and the
	// primary's heartbeats.
	ReplicationStopped bool
	// Paused makes the server behave like a stopped process: connections stay open, nothing is
	// answered, time passes.
	Paused bool
	// Isolated disconnects the server from its peers; clients still reach it.
	Isolated bool
	// CommitFailure is the error that answers the next commit of a transaction with changes.
	CommitFailure CommitFailure
	// Repetition makes the server send some of its answers twice.
	Repetition Repetition
}

// Repetition describes which answers are sent twice; none if Every is zero.
type Repetition struct {
	// Every is the number of answers of which one is sent twice.
	Every int
	// MaximumDelay bounds the time until an answer is sent again.
	MaximumDelay time.Duration
}

// CommitFailure describes the error that answers a commit; none if Code is empty.
type CommitFailure struct {
	// Code is the SQLSTATE of the error.
	Code string
	// Committed says that the transaction is committed although an error is answered; otherwise
	// it is rolled back.
	Committed bool
}

// Faults holds the settings and lets goroutines wait for changes of them. The zero value is ready
// for use.
type Faults struct {
	mutex    sync.Mutex
	settings Settings
	changed  chan struct{}
}

// Get returns the settings and a channel that is closed at their next change.
func (f *Faults) Get() (Settings, <-chan struct{}) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.settings, f.changed
}

// Change calls c to modify the settings and wakes all waiters.
func (f *Faults) Change(c func(*Settings)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	c(&f.settings)
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// TakeCommitFailure returns the commit failure that is set and clears it, so that it occurs once.
func (f *Faults) TakeCommitFailure() CommitFailure {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	c := f.settings.CommitFailure
	f.settings.CommitFailure = CommitFailure{}
	return c
}

// WaitUnpaused returns once the server is not paused, or with the error of ctx.
func (f *Faults) WaitUnpaused(ctx context.Context) error {
	return f.waitFor(ctx, func(s Settings) bool { return !s.Paused })
}

// WaitReplicating returns once the server is neither paused nor its replication stopped, or with
// the error of ctx.
func (f *Faults) WaitReplicating(ctx context.Context) error {
	return f.waitFor(ctx, func(s Settings) bool { return !s.Paused && !s.ReplicationStopped })
}

// WaitConnected returns once the server is not isolated, or with the error of ctx.
func (f *Faults) WaitConnected(ctx context.Context) error {
	return f.waitFor(ctx, func(s Settings) bool { return !s.Isolated })
}

// WaitReplicationLag returns once a record received at the given time may be applied, or with the
// error of ctx. A change of the replication lag takes effect during the wait.
func (f *Faults) WaitReplicationLag(ctx context.Context, received time.Time) error {
	for {
		s, c := f.Get()
		d := time.Until(received.Add(s.ReplicationLag))
		if d <= 0 {
			return ctx.Err()
		}
		t := time.NewTimer(d)
		select {
		case <-t.C:
		case <-c:
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		}
		t.Stop()
	}
}

// waitFor returns once the settings fulfil the condition, or with the error of ctx.
func (f *Faults) waitFor(ctx context.Context, holds func(Settings) bool) error {
	for {
		s, c := f.Get()
		if holds(s) {
			return ctx.Err()
		}
		select {
		case <-c:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
