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

// ClaimKind is the kind of the platform object that holds a group's claim.
const ClaimKind = "database-group"

// Claim is the JSON value of a group's claim object. It names the entry host that is about to
// promote and the term that it will raise. Claims reduce the number of hosts that raise competing
// terms; safety depends on the terms alone.
type Claim struct {
	Host string      `json:"host"`
	Term marker.Term `json:"term"`
}

// ClaimTracker records when this host first read the current version of the claim. A claim whose
// holder has crashed thus expires by this host's own clock, without comparing two hosts' clocks.
type ClaimTracker struct {
	// Version is the last version of the claim object that was read.
	Version accessor.Version
	// FirstSeen is the monotonic time at which this host first read Version.
	FirstSeen time.Duration
}

func (m *ClaimTracker) observe(now time.Duration, v accessor.Version) {
	if m.Version != v {
		m.Version = v
		m.FirstSeen = now
	}
}

func (a *Attempt) handleClaimResult(now time.Duration, r Result) {
	switch {
	case a.Step == StepReadClaim && r.Action.Kind == ActionReadClaim:
		a.handleReadClaim(now, r)
	case a.Step == StepPutClaim && r.Action.Kind == ActionPutClaim:
		a.handlePutClaim(now, r)
	case a.Step == StepSettleClaim && r.Action.Kind == ActionReadClaim:
		a.handleSettleClaim(now, r)
	}
}

func (a *Attempt) handleReadClaim(now time.Duration, r Result) {
	if r.Err != nil && !errors.Is(r.Err, accessor.ErrNotFound) {
		a.enter(now, StepFence)
		return
	}
	if r.Err == nil && a.claimedByOther(now, r.Object) {
		a.abandon(now, "claimed by another host")
		return
	}
	b, err := json.Marshal(Claim{Host: a.Host, Term: a.Term})
	if err != nil {
		a.enter(now, StepFence)
		return
	}
	a.claim = accessor.Object{Kind: ClaimKind, Name: a.Group, Version: r.Object.Version, Writer: a.Writer, Value: b}
	a.enter(now, StepPutClaim)
}

// claimedByOther reports whether o is another host's unexpired claim to this attempt's term or a
// higher one.
func (a *Attempt) claimedByOther(now time.Duration, o accessor.Object) bool {
	a.ClaimTracker.observe(now, o.Version)
	var c Claim
	if json.Unmarshal(o.Value, &c) != nil {
		return false
	}
	return c.Host != a.Host && c.Term >= a.Term && now-a.ClaimTracker.FirstSeen < a.Settings.ClaimTTL
}

func (a *Attempt) handlePutClaim(now time.Duration, r Result) {
	switch {
	case r.Err == nil:
		a.enter(now, StepFence)
	case errors.Is(r.Err, accessor.ErrConflict):
		a.abandon(now, "claimed by another host")
	default:
		a.enter(now, StepSettleClaim) // the put may have succeeded
	}
}

// handleSettleClaim handles the read that follows a put whose answer was lost. The writer's id
// in the object shows whether this attempt's put succeeded.
func (a *Attempt) handleSettleClaim(now time.Duration, r Result) {
	if r.Err == nil && r.Object.Writer != a.Writer && r.Object.Version > a.claim.Version {
		a.abandon(now, "claimed by another host")
		return
	}
	a.enter(now, StepFence)
}

// Rank returns the host's rank among hosts, counted from zero, for promoting the group to a term
// above t. Ranks are assigned by rendezvous hashing. A host that isn't in hosts has rank zero.
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

// Delay returns how long the host waits before it promotes: step for each host that ranks before
// it, or, if hosts doesn't contain it, a fraction of spread that is chosen by hash.
func Delay(hosts []string, host, group string, t marker.Term, step, spread time.Duration) time.Duration {
	if slices.Contains(hosts, host) {
		return time.Duration(Rank(hosts, host, group, t)) * step
	}
	const buckets = 16
	return spread / buckets * time.Duration(weight(host, group, t)%buckets)
}
