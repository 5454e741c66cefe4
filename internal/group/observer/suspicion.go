package observer

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
)

// freshFailures is how many calls must have failed in a row: the first one may
// have used an old connection that had gone silent, the second one did not.
const freshFailures = 2

// suspect returns why the group needs a promotion, if it does.
func (v *View) suspect(c Settings, w []PrimaryReport) Reason {
	if !v.HasMajority() {
		return ReasonNone
	}
	if v.Primary == "" && v.followed(c) {
		return ReasonNone
	}
	if v.Primary == "" {
		return lasting(ReasonNoPrimary, v.At-v.noPrimarySince, c.NoPrimaryTimeout)
	}
	if r := v.suspectSilence(c, w); r != ReasonNone {
		return r
	}
	if v.ahead() {
		return lasting(ReasonTermAhead, v.At-v.aheadSince, c.TermAheadTimeout)
	}
	return ReasonNone
}

// followed reports whether an instance under the highest term hears a primary
// that this host hasn't seen yet, since its own calls to it were lost.
func (v *View) followed(c Settings) bool {
	for i := range v.Servers {
		s := &v.Servers[i]
		follows := s.Status.Role == controller.RoleReplica && s.Status.Following != "" && s.Status.Term == v.HighestTerm
		if s.Fresh && follows && s.silence() < c.SuspicionTimeout {
			return true
		}
	}
	return false
}

func lasting(r Reason, d, threshold time.Duration) Reason {
	if d < threshold {
		return ReasonNone
	}
	return r
}

func (v *View) suspectSilence(c Settings, w []PrimaryReport) Reason {
	if v.At-v.PrimarySince < c.IsolationTimeout && !v.lost(c) {
		return ReasonNone // its replicas may not have been pointed at it yet
	}
	if v.silentReplicas(c, c.IsolationTimeout) {
		return ReasonIsolated
	}
	if v.silentReplicas(c, v.patience(c)) && v.lost(c) && !contradicted(v, w) {
		return ReasonUnreachable
	}
	return ReasonNone
}

// lost reports whether this host's own fresh connections to the primary fail.
func (v *View) lost(c Settings) bool {
	s, _ := v.Server(v.Primary)
	return s.Failures >= freshFailures && s.unanswered(v.At) >= v.patience(c)
}

// patience returns how long the primary must be silent before it is suspected.
func (v *View) patience(c Settings) time.Duration {
	s, _ := v.Server(v.Primary)
	if s.Refused && c.RefusalTimeout > 0 {
		return c.RefusalTimeout
	}
	return c.SuspicionTimeout
}

// silentReplicas reports whether a majority of the replicas answers and hasn't
// heard the primary for d. An old answer is no evidence: it may have heard it
// since. Where most replicas hear it, the fault is this host's
// own, and promoting would only interrupt everybody's writes.
func (v *View) silentReplicas(c Settings, d time.Duration) bool {
	n := 0
	for i := range v.Servers {
		s := &v.Servers[i]
		recent := s.Fresh && excess(v.At-s.PolledAt, c.MaximumEvidenceAge) == 0
		if recent && s.Name != v.Primary && s.silent(v.Primary, d) {
			n++
		}
	}
	return n >= Majority(len(v.Servers)-1)
}

func (s *Server) silent(primary string, d time.Duration) bool {
	return s.Status.Role != controller.RoleReplica || s.Status.Following != primary || s.silence() >= d
}

// contradicted reports whether other hosts gave their word on this primary and
// none of them finds it lost.
func contradicted(v *View, w []PrimaryReport) bool {
	n := 0
	for _, o := range w {
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

// Report returns this host's own word on the primary for other hosts.
func (v *View) Report(host string, c Settings) PrimaryReport {
	return PrimaryReport{Host: host, Primary: v.Primary, Term: v.Term, Lost: v.Primary != "" && v.lost(c)}
}
