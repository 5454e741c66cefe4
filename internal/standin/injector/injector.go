// Package injector holds the faults that are set on one stand-in backend server.
package injector

import (
	"context"
	"sync"
	"time"
)

// Settings are the faults in force.
type Settings struct {
	// ReplicationLag delays each record that a replica takes over.
	ReplicationLag time.Duration
	// ReplicationStopped keeps a replica from taking over records; it still hears its primary.
	ReplicationStopped bool
	// Paused freezes the process: connections stay open, nothing is answered, the clock goes on.
	Paused bool
	// Isolated cuts the server off from its peers; callers still reach it.
	Isolated bool
	// CommitFailure answers the next commit of a transaction that wrote.
	CommitFailure CommitFailure
}

// CommitFailure is an error that answers a commit, none if Code is empty.
type CommitFailure struct {
	// Code is its SQLSTATE.
	Code string
	// Committed says that the commit takes effect all the same; otherwise it doesn't.
	Committed bool
}

// Faults are settings that goroutines wait on.
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

// Change lets c change the settings.
func (f *Faults) Change(c func(*Settings)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	c(&f.settings)
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// TakeCommitFailure returns the failure of the next commit, which happens once.
func (f *Faults) TakeCommitFailure() CommitFailure {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	c := f.settings.CommitFailure
	f.settings.CommitFailure = CommitFailure{}
	return c
}

// WaitUnpaused returns when the server isn't paused, at once mostly.
func (f *Faults) WaitUnpaused(ctx context.Context) error {
	return f.waitFor(ctx, func(s Settings) bool { return !s.Paused })
}

// WaitReplicating returns when replication isn't stopped.
func (f *Faults) WaitReplicating(ctx context.Context) error {
	return f.waitFor(ctx, func(s Settings) bool { return !s.Paused && !s.ReplicationStopped })
}

// WaitConnected returns when the server isn't isolated.
func (f *Faults) WaitConnected(ctx context.Context) error {
	return f.waitFor(ctx, func(s Settings) bool { return !s.Isolated })
}

// WaitReplicationLag returns when a record that came at the given time may be taken over,
// by the replication lag that is set then.
func (f *Faults) WaitReplicationLag(ctx context.Context, came time.Time) error {
	for {
		s, c := f.Get()
		d := time.Until(came.Add(s.ReplicationLag))
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
