package follower

import (
	"context"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/config/adopter"
)

// reportToRelay reports to the relay which revision this host is ready for and which one
// is in force here. It returns ErrNotRegistered if the relay's object doesn't hold this host.
func (h *Host) reportToRelay(ctx context.Context, relay string, r adopter.Report) error {
	c, cancel := context.WithTimeout(WithoutWaiting(ctx), reportWait+consultTimeout)
	defer cancel()
	asked, known := h.consultationStart()
	m := h.newMemberReport(relay, r)
	a, err := h.Relays.Consult(c, relay, h.newConsultation(known, reportWait, &m))
	if err == nil && a.Registration == nil {
		err = errors.Annotatef(ErrNotRegistered, "relay %s", relay)
	}
	if err != nil {
		h.mu.Lock()
		h.state.MarkUnregistered()
		h.mu.Unlock()
		h.avoidRelay(relay, err)
		return errors.Annotatef(err, "report through relay %s", relay)
	}
	h.reportedAt = time.Now()
	if a.Registration.Member == nil {
		a.Registration.Member = &m.Member
	}
	h.recordRegistration(a, asked, m.Registrar == "")
	return nil
}

// newMemberReport makes the next report to relay.
func (h *Host) newMemberReport(relay string, r adopter.Report) MemberReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sequence++
	m := MemberReport{Member: h.newHolder(r).OwnReport(), Sequence: h.sequence}
	// The relay sets the time at which it receives the report.
	m.Member.ReportedAt = time.Time{}
	if id, ok := h.state.Registrar(); ok && strings.HasPrefix(id, relay+"/") {
		m.Registrar = id
	}
	return m
}

// recordRegistration records that a relay's object holds this host. asked is when the
// relay was asked; fresh says that the host asked to be registered, so that the object
// was written after that.
func (h *Host) recordRegistration(a Advice, asked time.Duration, fresh bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.deregistered {
		return
	}
	m := a.Registration.Member
	h.state.ProcessReceipt(adopter.Receipt{
		Registrar: a.Registration.Registrar,
		Report:    adopter.Report{Ready: m.Ready, Refused: m.Refused, Reason: m.Reason, InForce: m.InForce},
		AskedAt:   asked,
		Fresh:     fresh,
	}, h.clock.now())
	if a.Sight == nil {
		return
	}
	if a.Registration.Confirmed {
		h.state.ConfirmRegistration(a.Registration.Registrar, asked, a.Sight.Age)
	}
	h.recordSight(*a.Sight, asked)
}

// releaseOldRegistrations ends registrations that this host doesn't need any more: its own
// object once it is registered through a relay, and its entries at previous relays.
func (h *Host) releaseOldRegistrations(ctx context.Context) {
	id, ok := h.registrar()
	if !ok {
		return
	}
	if id != "" && h.object.Name != "" {
		h.retireObject(ctx)
	}
	for _, r := range h.takePreviousRelays() {
		h.leaveRelay(ctx, r)
	}
}

// registrar returns who holds the host's registration, empty for the host's own object;
// false if the host isn't registered.
func (h *Host) registrar() (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Registrar()
}

// takePreviousRelays returns the relays to be notified that this host left, and clears
// them: each is notified only once, because an operator removes an entry that remains
// after the time for which it waits for hosts.
func (h *Host) takePreviousRelays() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var l []string
	for r := range h.previousRelays {
		l = append(l, r)
	}
	clear(h.previousRelays)
	return l
}

// leaveRelay asks relay to remove this host from its object.
func (h *Host) leaveRelay(ctx context.Context, relay string) {
	c, cancel := context.WithTimeout(WithoutWaiting(ctx), retireTimeout)
	defer cancel()
	m := h.newMemberReport(relay, h.currentReport())
	m.Registrar, m.Leaving = "", true
	if _, err := h.Relays.Consult(c, relay, h.newConsultation(0, retireTimeout, &m)); err != nil {
		h.Log.WithError(err).WithField("relay", relay).Warn("previous relay not notified of leaving")
	}
}

// Deregister ends the host's registration at its relay. It is called once the host has no
// caller, while it can still reach the relay; otherwise the next change of the
// configuration would wait for this host.
func (h *Host) Deregister(ctx context.Context) {
	h.once.Do(h.init)
	if r := h.endRelayRegistration(); r != "" {
		h.leaveRelay(ctx, r)
	}
}

// endRelayRegistration permanently ends the registration through a relay and returns the
// relay, empty if the host has its own object, which Run frees at its end.
func (h *Host) endRelayRegistration() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.followsRelay() {
		h.deregistered = true
		h.state.MarkUnregistered()
	}
	return h.relay
}
