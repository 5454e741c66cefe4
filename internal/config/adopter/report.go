package adopter

import "time"

// MarkReported takes in that the host's own object holds r; now is the time of the
// platform's answer.
func (s *State) MarkReported(r Report, now time.Duration) {
	s.ProcessReceipt(Receipt{Report: r, AskedAt: now, Fresh: true}, now)
}

// Receipt says what an object holds of a host.
type Receipt struct {
	// Registrar is who the object belongs to: empty for the host's own, or else a
	// relay in one of its incarnations.
	Registrar string
	Report    Report
	// AskedAt is when the host asked for it, on the host's clock.
	AskedAt time.Duration
	// Fresh says that the object was written after the host asked.
	Fresh bool
}

// ProcessReceipt takes in a receipt; now is the time of the answer.
//
// Only a fresh one registers a host: what an object held before the host asked, an
// operator may have taken out. An answer that took longer than a lease doesn't
// count either, nor one that shows less than what this host is known to have
// acknowledged: an operator may have waited a lapse for just that
// acknowledgement and have taken the host out since.
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
		s.renewFrom = now
		s.askedFrom = x.AskedAt
	}
	s.registered = true
	s.registrar = x.Registrar
	s.acknowledged = x.Report.Ready
	s.reported = x.Report.InForce
	s.toldRefused = x.Report.Refused
}

// Registrar returns who holds this host's registration, false if nobody is
// known to; empty stands for the host's own object.
func (s *State) Registrar() (string, bool) {
	return s.registrar, s.registered
}

// ConfirmRegistration takes in that registrar read the head after it had stored this
// host's registration, for a question sent at asked; age is how old the sight in
// the same answer is. So that sight confirms the registration.
//
// Both are mapped to this host's clock by the same answer, and may be moved back
// by the same amount: what was staged before the sight shows in it, and what was
// staged later counts this host.
func (s *State) ConfirmRegistration(registrar string, asked, age time.Duration) {
	if s.registered && s.registrar == registrar && s.askedFrom == asked {
		s.renewFrom = min(s.renewFrom, asked-age)
	}
}
