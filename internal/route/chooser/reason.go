package chooser

// Reason says why a server was chosen or passed over, or a request refused.
type Reason uint8

// Reasons for the decision as a whole.
const (
	ReasonNone Reason = iota
	// ReasonWrite is a write, which only the confirmed primary takes.
	ReasonWrite
	// ReasonWithinAge is a read at a server whose data is shown to be young enough.
	ReasonWithinAge
	// ReasonReadIndex is a read at a server that is as fresh as the primary was
	// after the read arrived.
	ReasonReadIndex
	// ReasonPrimaryFaster is a read at the primary, where it ends earliest.
	ReasonPrimaryFaster
	// ReasonOnlyPrimary is a read at the primary because no replica is fit.
	ReasonOnlyPrimary
	// ReasonUnconfirmedMark is a read that has the session's own writes, of unknown age.
	ReasonUnconfirmedMark
	// ReasonUnconfirmedServe is a read whose rule says to serve what is reachable.
	ReasonUnconfirmedServe
	// ReasonNoPrimary is a refusal: no primary is confirmed.
	ReasonNoPrimary
	// ReasonNoFreshness is a refusal: neither a mark nor a read index can be had.
	ReasonNoFreshness
	// ReasonNoServer is a refusal: no reachable server holds what is needed.
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
	// ReasonNotPrimary is a server that doesn't take writes.
	ReasonNotPrimary
	// ReasonNotConfirmed is a primary that may have been superseded.
	ReasonNotConfirmed
	// ReasonLater is a server where the request would end later.
	ReasonLater
	// ReasonExcluded is a server that the request has been refused by before.
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
