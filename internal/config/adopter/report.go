package adopter

import "time"

// MarkReported records that the host's own object holds r; now is the time of the platform's answer.
func (s *State) MarkReported(r Report, now time.Duration) {
	s.ProcessReceipt(Receipt{Report: r, AskedAt: now, Fresh: true}, now)
}

// Receipt is the answer to a report: what an object holds of the host.
type Receipt struct {
	// Registrar identifies the object: empty for the host's own one, otherwise the incarnation of the
	// relay that it belongs to.
	Registrar string
	Report    Report
	// AskedAt is when the host sent its report, on the host's clock.
	AskedAt time.Duration
	// Fresh says that the object was written after the host sent its report.
	Fresh bool
}

// ProcessReceipt updates the registration from a receipt; now is the time of the answer.
//
// Only a fresh receipt registers a host, because an operator may have removed what an object held
// before the host sent its report. A receipt is ignored if it took longer than a lease, or if it
// shows less than this host is known to have acknowledged: an operator may have waited for just that
// acknowledgement until its timeout and have removed the host since.
func (s *State) ProcessReceipt(x Receipt, now time.Duration) {
	if now >= x.AskedAt+s.lease() || x.Report.Ready < s.acknowledged {
		return
	}
	if x.Registrar != s.registrar {
		s.registered = false
	}
	if !s.registered {
		if !x.Fresh {
			return
		}
		s.registrationCheckedAt = now
		s.registrationAskedAt = x.AskedAt
	}
	s.registered = true
	s.registrar = x.Registrar
	s.acknowledged = x.Report.Ready
	s.reported = x.Report.InForce
	s.reportedRefused = x.Report.Refused
}

// Registrar returns the registrar of the object that registers this host, as in Receipt, false if
// the host isn't known to be registered.
func (s *State) Registrar() (string, bool) {
	return s.registrar, s.registered
}

// ConfirmRegistration records that registrar read the head after it had stored this host's
// registration, for a question sent at asked; age is the age of the sight in the same answer. So that
// sight confirms the registration.
//
// The registration and the sight are mapped to this host's clock by the same answer, so both may be
// moved back by the same amount: the sight shows what was staged before it, and a revision staged
// later waits for this host.
func (s *State) ConfirmRegistration(registrar string, asked, age time.Duration) {
	if s.registered && s.registrar == registrar && s.registrationAskedAt == asked {
		s.registrationCheckedAt = min(s.registrationCheckedAt, asked-age)
	}
}
