package chooser

// Reason is why a server was chosen or passed over, or why a request was refused.
type Reason uint8

// Reasons for the decision as a whole.
const (
	ReasonNone Reason = iota
	// ReasonWrite is a write at the confirmed primary.
	ReasonWrite
	// ReasonWithinAge is a read at a server whose data is known not to exceed the allowed age.
	ReasonWithinAge
	// ReasonReadIndex is a read at a replica that covers the read index, which was requested after
	// the read arrived.
	ReasonReadIndex
	// ReasonPrimaryFaster is a read at the primary, although a replica is eligible, because its cost
	// is lowest there.
	ReasonPrimaryFaster
	// ReasonOnlyPrimary is a read at the primary because no replica is eligible.
	ReasonOnlyPrimary
	// ReasonUnconfirmedMark is a read of data of unknown age that covers the session's mark.
	ReasonUnconfirmedMark
	// ReasonUnconfirmedServe is a read of data of unknown age, which its routing rule allows.
	ReasonUnconfirmedServe
	// ReasonNoPrimary is a refusal: no confirmed primary accepts writes.
	ReasonNoPrimary
	// ReasonNoFreshness is a refusal: the marks and the read index that are available can't ensure
	// the freshness that the read requires.
	ReasonNoFreshness
	// ReasonNoServer is a refusal: no server is eligible, for example because none that is reachable
	// covers the required mark.
	ReasonNoServer
)

// Reasons for which one server is passed over.
const (
	// ReasonUnreachable is a server that doesn't answer.
	ReasonUnreachable Reason = iota + 32
	// ReasonLeaving is a server that will stop soon.
	ReasonLeaving
	// ReasonBehind is a replica that won't catch up soon enough.
	ReasonBehind
	// ReasonBehindTerm is a replica whose log ends in an earlier term.
	ReasonBehindTerm
	// ReasonNotPrimary is a server that doesn't accept writes.
	ReasonNotPrimary
	// ReasonNotConfirmed is a primary that isn't confirmed and may have been superseded.
	ReasonNotConfirmed
	// ReasonLater is an eligible server with a higher cost, or an equal one that wasn't picked.
	ReasonLater
	// ReasonExcluded is a server that has refused the request before.
	ReasonExcluded
)

// String returns the reason in kebab case for log lines and metrics.
func (r Reason) String() string {
	switch r {
	case ReasonWrite:
		return "write"
	case ReasonWithinAge:
		return "within-age"
	case ReasonReadIndex:
		return "read-index"
	case ReasonPrimaryFaster:
		return "primary-faster"
	case ReasonOnlyPrimary:
		return "only-primary"
	case ReasonUnconfirmedMark:
		return "unconfirmed-mark"
	case ReasonUnconfirmedServe:
		return "unconfirmed-serve"
	case ReasonNoPrimary:
		return "no-primary"
	case ReasonNoFreshness:
		return "no-freshness"
	case ReasonNoServer:
		return "no-server"
	case ReasonUnreachable:
		return "unreachable"
	case ReasonLeaving:
		return "leaving"
	case ReasonBehind:
		return "behind"
	case ReasonBehindTerm:
		return "behind-term"
	case ReasonNotPrimary:
		return "not-primary"
	case ReasonNotConfirmed:
		return "not-confirmed"
	case ReasonLater:
		return "later"
	case ReasonExcluded:
		return "excluded"
	}
	return "none"
}
