// Package planner makes a plan of faults from a seed: a few at a time, singly and in pairs,
// at any moment of a soak.
package planner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is what goes wrong.
type Kind uint8

// Kinds of fault.
const (
	// KindKill kills an entry host's process; it is started again.
	KindKill Kind = iota
	// KindPause stops it for a while; it resumes unaware.
	KindPause
	// KindStop stops it as planned; it is started again.
	KindStop
	// KindIsolate cuts an entry host off from the store and the other hosts.
	KindIsolate
	// KindSilence has its open connections to the store and the other hosts go silent.
	KindSilence
	// KindStoreSilent, KindStoreBusy and KindStoreReset are a store that doesn't answer.
	KindStoreSilent
	KindStoreBusy
	KindStoreReset
	// KindStoreSlow and KindStoreLoses are one that answers late, or not to each write.
	KindStoreSlow
	KindStoreLoses
	// KindStoreForgets is one that drops its history.
	KindStoreForgets
	// KindPrimaryCrash ends a primary; it comes back with its log.
	KindPrimaryCrash
	// KindServerMute is a server that takes statements and answers none.
	KindServerMute
	// KindServerSilence has the open connections to a server go silent.
	KindServerSilence
	// KindReplicaDeaf is a replica that receives nothing.
	KindReplicaDeaf
	kinds
)

var names = [...]string{
	"kill", "pause", "stop", "isolate", "silence", "store-silent", "store-busy", "store-reset", "store-slow",
	"store-loses", "store-forgets", "primary-crash", "server-mute", "server-silence", "replica-deaf",
}

// String returns the kind in kebab case.
func (k Kind) String() string { return names[k] }

// Fault is one thing that goes wrong.
type Fault struct {
	Kind Kind
	// At is from the start, Duration how long it lasts.
	At, Duration time.Duration
	// Target picks the host, group or server, by its remainder.
	Target int
}

// String tells the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("%v %s for %v, target %d", f.At, f.Kind, f.Duration, f.Target)
}

const (
	// quiet is the time before the first fault, apart the least between two steps.
	quiet = 1500 * time.Millisecond
	apart = 1200 * time.Millisecond
	// shortest and longest bound a fault.
	shortest = 300 * time.Millisecond
	longest  = 4 * time.Second
)

// Plan returns the faults of a soak of the length, in order. Half of them come in pairs.
func Plan(seed uint64, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, 0))
	var l []Fault
	for at := quiet; at < length; at += apart + rand64(r, apart) {
		l = append(l, draw(r, at))
		if r.IntN(2) == 0 {
			l = append(l, draw(r, at+rand64(r, apart)))
		}
	}
	slices.SortStableFunc(l, func(a, b Fault) int { return int(a.At - b.At) })
	return l
}

func draw(r *rand.Rand, at time.Duration) Fault {
	return Fault{Kind: Kind(r.IntN(int(kinds))), At: at, Duration: shortest + rand64(r, longest-shortest), Target: r.IntN(1 << 16)}
}

// rand64 returns a time below d.
func rand64(r *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(d))).Truncate(time.Millisecond)
}
