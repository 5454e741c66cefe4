// Package planner derives the plan of faults of a soak test from a seed: single faults and pairs,
// spread over the length of the soak.
package planner

import (
	"fmt"
	"iter"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind uint8

// Kinds of fault.
const (
	// KindKill kills an entry host's process, which is started again after the fault's duration.
	KindKill Kind = iota
	// KindPause suspends an entry host's process (SIGSTOP) and resumes it.
	KindPause
	// KindStop stops an entry host as planned (SIGTERM); it is started again.
	KindStop
	// KindIsolate disconnects an entry host from the store and the other entry hosts.
	KindIsolate
	// KindSilence stops all traffic on an entry host's open connections to the store and the other
	// entry hosts; new connections work.
	KindSilence
	// KindStoreSilent is a store that accepts calls and never answers.
	KindStoreSilent
	// KindStoreBusy is a store that answers 503.
	KindStoreBusy
	// KindStoreReset is a store that resets the connection of each call.
	KindStoreReset
	// KindStoreSlow is a store that delays each answer.
	KindStoreSlow
	// KindStoreLoses is a store that carries out some writes without answering them.
	KindStoreLoses
	// KindStoreForgets is a store that drops its history of changes.
	KindStoreForgets
	// KindStoreWatchesSilent is a store that leaves watch calls without an answer and answers all others.
	KindStoreWatchesSilent
	// KindPrimaryCrash crashes a primary, which restarts with its log.
	KindPrimaryCrash
	// KindServerMute is a backend server that accepts statements and answers none.
	KindServerMute
	// KindServerSilence stops all answers on the open connections to a backend server; new
	// connections work.
	KindServerSilence
	// KindReplicaDeaf is a replica that receives no replication.
	KindReplicaDeaf
	kindCount
)

// Kinds of fault around promotions, see Promotions.
const (
	// KindServerRefuses refuses and resets an entry host's connections to a primary that works.
	KindServerRefuses Kind = iota + kindCount
	// KindServerUnheard stops all traffic between an entry host and a primary that works.
	KindServerUnheard
	// KindOrdersLate leaves every other order for a promotion without an answer; it is carried out seconds
	// later.
	KindOrdersLate
	// KindHolderKill kills the entry host that sends the next order. It is started again.
	KindHolderKill
	// KindPrimaryBlink crashes a primary for less than a promotion takes.
	KindPrimaryBlink
	// KindTwoCrash crashes a primary and a replica at once.
	KindTwoCrash
	kindEnd
)

// Kinds beside planned stops, see Stops.
const (
	// KindReload tells an entry host to read its settings again (SIGHUP).
	KindReload Kind = iota + kindEnd
	// KindStall suspends an entry host's process for less than half a second, as on a busy machine.
	KindStall
	// KindRepeat is a backend server that sends some answers twice, see Repetitions.
	KindRepeat
	// KindStoreCut leaves the calls of an entry host to the store without an answer, see Outages.
	KindStoreCut
)

// names holds the name of each Kind, in the order of the constants.
var names = [...]string{
	"kill", "pause", "stop", "isolate", "silence", "store-silent", "store-busy", "store-reset", "store-slow",
	"store-loses", "store-forgets", "store-watches-silent", "primary-crash", "server-mute", "server-silence", "replica-deaf",
	"server-refuses", "server-unheard", "orders-late", "holder-kill", "primary-blink", "two-crash", "reload", "stall", "server-repeats", "store-cut",
}

// String returns the kind's name in kebab case.
func (k Kind) String() string { return names[k] }

// Fault is one planned fault.
type Fault struct {
	Kind Kind
	// At is the time of the fault since the start of the soak, Duration how long it lasts.
	At, Duration time.Duration
	// Target selects the host, group or server: its remainder modulo their number is the index.
	Target int
}

// String describes the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("%v %s for %v, target %d", f.At, f.Kind, f.Duration, f.Target)
}

const (
	// firstFault is the time before the first fault.
	firstFault = 1500 * time.Millisecond
	// minimumInterval is the minimum time between two steps of a plan, each a fault or a pair of
	// faults; the maximum is twice that.
	minimumInterval = 1200 * time.Millisecond
	// minimumDuration and maximumDuration are the bounds of a fault's duration.
	minimumDuration = 300 * time.Millisecond
	maximumDuration = 4 * time.Second
	// together is the time within which the faults of a step begin if it has up to perStep of them.
	together = 500 * time.Millisecond
	perStep  = 3
)

// Plan returns the faults of a soak of the given length, in order of time. The same seed and length
// give the same plan. Half of the steps are pairs of faults.
func Plan(seed uint64, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, 0))
	var l []Fault
	for at := range steps(r, length) {
		l = append(l, randomFault(r, at))
		if r.IntN(2) == 0 {
			l = append(l, randomFault(r, at+randomDuration(r, minimumInterval)))
		}
	}
	return byTime(l)
}

// steps returns the times of a plan's steps.
func steps(r *rand.Rand, length time.Duration) iter.Seq[time.Duration] {
	return func(yield func(time.Duration) bool) {
		for at := firstFault; at < length && yield(at); at += minimumInterval + randomDuration(r, minimumInterval) {
		}
	}
}

// byTime sorts the faults in order of time.
func byTime(l []Fault) []Fault {
	slices.SortStableFunc(l, func(a, b Fault) int { return int(a.At - b.At) })
	return l
}

// randomFault returns a fault of random kind, duration and target.
func randomFault(r *rand.Rand, at time.Duration) Fault {
	return Fault{Kind: Kind(r.IntN(int(kindCount))), At: at, Duration: minimumDuration + randomDuration(r, maximumDuration-minimumDuration), Target: r.IntN(1 << 16)}
}

// randomDuration returns a random duration below d, in whole milliseconds.
func randomDuration(r *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(d))).Truncate(time.Millisecond)
}

// Promotions returns faults around promotions, in order of time, for groups with synchronous replicas. Each step
// is one to three faults within half a second.
func Promotions(seed uint64, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, 2))
	var l []Fault
	for at := range steps(r, length) {
		for range 1 + r.IntN(perStep) {
			f := randomFault(r, at+randomDuration(r, together))
			f.Kind = KindServerRefuses + Kind(r.IntN(int(kindEnd-KindServerRefuses)))
			if f.Kind == KindPrimaryBlink {
				f.Duration = minimumDuration + randomDuration(r, together)
			}
			l = append(l, f)
		}
	}
	return byTime(l)
}

const (
	// stalls is the number of stalls of each stop, which fall into longestStop after its request.
	stalls      = 3
	longestStop = 5500 * time.Millisecond
	// minimumStall and maximumStall are the bounds of a stall's duration.
	minimumStall = 100 * time.Millisecond
	maximumStall = 400 * time.Millisecond
)

// Stops returns planned stops of entry hosts in series, in order of time. Each step stops one to three hosts
// within half a second, beside reloads of settings. A host is stalled three times while it stops.
func Stops(seed uint64, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, 3))
	var l []Fault
	for at := range steps(r, length) {
		for range 1 + r.IntN(perStep) {
			f := randomFault(r, at+randomDuration(r, together))
			f.Kind = KindStop
			l = append(l, f)
			reload := f
			reload.Kind, reload.At = KindReload, f.At+randomDuration(r, maximumDuration)
			l = append(l, reload)
			for range stalls {
				x := f
				x.Kind, x.At, x.Duration = KindStall, f.At+randomDuration(r, longestStop), minimumStall+randomDuration(r, maximumStall-minimumStall)
				l = append(l, x)
			}
		}
	}
	return byTime(l)
}

// Repetitions returns one fault for each of two thirds of the servers, in order of time, which lasts from the first half
// of the soak until its end.
func Repetitions(seed uint64, length time.Duration, servers int) []Fault {
	r := rand.New(rand.NewPCG(seed, 4))
	var l []Fault
	for _, i := range r.Perm(servers)[:(2*servers+2)/3] {
		at := randomDuration(r, length/2)
		l = append(l, Fault{Kind: KindRepeat, At: at, Duration: length - at, Target: i})
	}
	return byTime(l)
}

const (
	// outageInterval is the time between two outages of the store, and minimumOutage the minimum time of one; the maximum is
	// twice that.
	outageInterval = 9 * time.Second
	minimumOutage  = 2 * time.Second
	// cutLead is how long before the end of an outage hosts are cut off from the store.
	cutLead = 700 * time.Millisecond
	// longestCut is the maximum time of such a cut.
	longestCut = 6 * time.Second
)

// Outages returns outages of the store in order of time. Shortly before the end of each, a third of the hosts or fewer are
// cut off from the store, some of them beside a pause or a kill of another host.
func Outages(seed uint64, length time.Duration, hosts int) []Fault {
	r := rand.New(rand.NewPCG(seed, 5))
	kinds := []Kind{KindStoreSilent, KindStoreBusy, KindStoreReset}
	var l []Fault
	for at := firstFault; at < length; at += outageInterval {
		f := randomFault(r, at)
		f.Kind, f.Duration = kinds[r.IntN(len(kinds))], minimumOutage+randomDuration(r, minimumOutage)
		l = append(l, f)
		end := at + f.Duration
		cut := r.Perm(hosts)
		for _, i := range cut[:1+r.IntN(max(1, hosts/3))] {
			l = append(l, Fault{Kind: KindStoreCut, At: end - cutLead, Duration: cutLead + randomDuration(r, longestCut), Target: i})
		}
		if r.IntN(2) == 0 {
			l = append(l, Fault{Kind: []Kind{KindPause, KindKill}[r.IntN(2)], At: end - randomDuration(r, minimumOutage), Duration: minimumDuration + randomDuration(r, time.Second), Target: cut[hosts-1]})
		}
	}
	return byTime(l)
}
