package promoter

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// ClaimKind is the kind of the platform's object that holds a group's claim.
const ClaimKind = "database-group"

// Claim is the value of a group's object: which host is about to promote. It
// keeps hosts from raising terms against each other; safety rests on terms alone.
type Claim struct {
	Host string      `json:"host"`
	Term marker.Term `json:"term"`
}

// ClaimTracker remembers when this host first saw the present claim, so that a
// claim whose holder died is overridden without comparing clocks of two hosts.
type ClaimTracker struct {
	Version   accessor.Version
	FirstSeen time.Duration
}

func (m *ClaimTracker) see(now time.Duration, v accessor.Version) {
	if m.Version != v {
		m.Version = v
		m.FirstSeen = now
	}
}

func (a *Attempt) takeClaim(now time.Duration, r Result) {
	switch {
	case a.Step == StepReadClaim && r.Action.Kind == ActionReadClaim:
		a.takeRead(now, r)
	case a.Step == StepPutClaim && r.Action.Kind == ActionPutClaim:
		a.takePut(now, r)
	case a.Step == StepSettleClaim && r.Action.Kind == ActionReadClaim:
		a.takeSettle(now, r)
	}
}

func (a *Attempt) takeRead(now time.Duration, r Result) {
	if r.Err != nil && !errors.Is(r.Err, accessor.ErrNotFound) {
		a.enter(now, StepFence)
		return
	}
	if r.Err == nil && a.respects(now, r.Object) {
		a.abandon(now, "claimed by another host")
		return
	}
	b, err := json.Marshal(Claim{Host: a.Host, Term: a.Term})
	if err != nil {
		a.enter(now, StepFence)
		return
	}
	a.object = accessor.Object{Kind: ClaimKind, Name: a.Group, Version: r.Object.Version, Writer: a.Writer, Value: b}
	a.enter(now, StepPutClaim)
}

// respects reports whether o is another host's claim to a term that isn't over.
func (a *Attempt) respects(now time.Duration, o accessor.Object) bool {
	a.ClaimTracker.see(now, o.Version)
	var c Claim
	if json.Unmarshal(o.Value, &c) != nil {
		return false
	}
	return c.Host != a.Host && c.Term >= a.Term && now-a.ClaimTracker.FirstSeen < a.Settings.ClaimTTL
}

func (a *Attempt) takePut(now time.Duration, r Result) {
	switch {
	case r.Err == nil:
		a.enter(now, StepFence)
	case errors.Is(r.Err, accessor.ErrConflict):
		a.abandon(now, "claimed by another host")
	default:
		a.enter(now, StepSettleClaim) // the put may have taken effect
	}
}

// takeSettle reads back after a put whose answer was lost: the writer's id
// tells whether the change is this attempt's own.
func (a *Attempt) takeSettle(now time.Duration, r Result) {
	if r.Err == nil && r.Object.Writer != a.Writer && r.Object.Version > a.object.Version {
		a.abandon(now, "claimed by another host")
		return
	}
	a.enter(now, StepFence)
}

// Rank returns the host's place among hosts for the next promotion of a group
// above term t, zero first, by rendezvous hashing.
func Rank(hosts []string, host, group string, t marker.Term) int {
	s := slices.Clone(hosts)
	slices.SortFunc(s, func(x, y string) int {
		return compareWeights(weight(x, group, t), weight(y, group, t))
	})
	return max(0, slices.Index(s, host))
}

func compareWeights(x, y uint64) int {
	if x > y {
		return -1
	}
	if x < y {
		return 1
	}
	return 0
}

func weight(host, group string, t marker.Term) uint64 {
	d := xxhash.New()
	for _, s := range []string{host, group, marker.Mark{Term: t}.String()} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// Delay returns how long a host waits before it promotes: step for each host
// that ranks before it, or if the hosts aren't known a part of spread by hash.
func Delay(hosts []string, host, group string, t marker.Term, step, spread time.Duration) time.Duration {
	if slices.Contains(hosts, host) {
		return time.Duration(Rank(hosts, host, group, t)) * step
	}
	const parts = 16
	return spread / parts * time.Duration(weight(host, group, t)%parts)
}
