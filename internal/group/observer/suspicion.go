package observer

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
)

// unreachableFailures is how many consecutive calls to a server must fail before it counts as
// unreachable. The first call may have used a stale connection, the second one used a fresh one.
const unreachableFailures = 2

// suspicionReason returns why the group needs a promotion, ReasonNone if it needs none.
func (v *View) suspicionReason(c Settings, l []PrimaryReport) Reason {
	if !v.HasMajority() {
		return ReasonNone
	}
	if v.Primary == "" && v.hasUnseenPrimary(c) {
		return ReasonNone
	}
	if v.Primary == "" {
		return reasonAfter(ReasonNoPrimary, v.At-v.noPrimarySince, c.NoPrimaryTimeout)
	}
	if r := v.silenceReason(c, l); r != ReasonNone {
		return r
	}
	if v.termAhead() {
		return reasonAfter(ReasonTermAhead, v.At-v.termAheadSince, c.TermAheadTimeout)
	}
	return ReasonNone
}

// hasUnseenPrimary reports whether an instance under the highest term receives from a primary that
// this host has not observed, since this host's own calls to the primary failed.
func (v *View) hasUnseenPrimary(c Settings) bool {
	for i := range v.Servers {
		s := &v.Servers[i]
		follows := s.Status.Role == controller.RoleReplica && s.Status.Following != "" && s.Status.Term == v.HighestTerm
		if s.Fresh && follows && s.primarySilence() < c.SuspicionTimeout {
			return true
		}
	}
	return false
}

// reasonAfter returns r once its condition has lasted for the threshold, else ReasonNone.
func reasonAfter(r Reason, d, threshold time.Duration) Reason {
	if d < threshold {
		return ReasonNone
	}
	return r
}

// silenceReason returns why the known primary is suspected because of its silence.
func (v *View) silenceReason(c Settings, l []PrimaryReport) Reason {
	if v.At-v.PrimarySince < c.IsolationTimeout && !v.primaryUnreachable(c) {
		return ReasonNone // the replicas of a new primary may still follow the previous one
	}
	if v.silentToMajority(c, c.IsolationTimeout) {
		return ReasonIsolated
	}
	if v.silentToMajority(c, v.silenceTimeout(c)) && v.primaryUnreachable(c) && !reachableByPeers(v, l) {
		return ReasonUnreachable
	}
	return ReasonNone
}

// primaryUnreachable reports whether fresh connections from this host to the primary fail.
func (v *View) primaryUnreachable(c Settings) bool {
	s, _ := v.Server(v.Primary)
	return s.Failures >= unreachableFailures && s.unansweredFor(v.At) >= v.silenceTimeout(c)
}

// silenceTimeout returns how long the primary must be silent before it is suspected.
func (v *View) silenceTimeout(c Settings) time.Duration {
	s, _ := v.Server(v.Primary)
	if s.Refused && c.RefusalTimeout > 0 {
		return c.RefusalTimeout
	}
	return c.SuspicionTimeout
}

// silentToMajority reports whether a majority of the replicas answers and has received nothing
// from the primary for d. An old answer is no evidence, since its replica may have received from
// the primary afterwards. If most replicas still receive from the primary, the fault is on this
// host's side, and a promotion would only interrupt the writes of all callers.
func (v *View) silentToMajority(c Settings, d time.Duration) bool {
	n := 0
	for i := range v.Servers {
		s := &v.Servers[i]
		recent := s.Fresh && excess(v.At-s.PolledAt, c.MaximumEvidenceAge) == 0
		if recent && s.Name != v.Primary && s.reportsSilence(v.Primary, d) {
			n++
		}
	}
	return n >= Majority(len(v.Servers)-1)
}

// reportsSilence reports whether the server does not follow the primary or has received nothing
// from it for d.
func (s *Server) reportsSilence(primary string, d time.Duration) bool {
	return s.Status.Role != controller.RoleReplica || s.Status.Following != primary || s.primarySilence() >= d
}

// reachableByPeers reports whether other hosts reported on this primary and all of them reach it.
func reachableByPeers(v *View, l []PrimaryReport) bool {
	n := 0
	for _, o := range l {
		if o.Primary != v.Primary || o.Term != v.Term {
			continue
		}
		if o.Lost {
			return false
		}
		n++
	}
	return n > 0
}

// Report returns this host's own report on the primary, for other hosts.
func (v *View) Report(host string, c Settings) PrimaryReport {
	return PrimaryReport{Host: host, Primary: v.Primary, Term: v.Term, Lost: v.Primary != "" && v.primaryUnreachable(c)}
}
