package follower

import (
	"context"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/config/adopter"
)

// reportThrough tells the relay what this host is ready for and decides by.
func (h *Host) reportThrough(ctx context.Context, relay string, r adopter.Report) error {
	c, cancel := context.WithTimeout(WithoutWaiting(ctx), reportWait+consultTimeout)
	defer cancel()
	asked, known := h.question()
	m := h.memberReport(relay, r)
	a, err := h.Relays.Consult(c, relay, h.consultation(known, reportWait, &m))
	if err == nil && a.Registration == nil {
		err = errors.Annotatef(ErrNotRegistered, "relay %s", relay)
	}
	if err != nil {
		h.mu.Lock()
		h.state.MarkUnregistered()
		h.mu.Unlock()
		h.avoid(relay, err)
		return errors.Annotatef(err, "report through relay %s", relay)
	}
	h.reportedAt = time.Now()
	if a.Registration.Member == nil {
		a.Registration.Member = &m.Member
	}
	h.held(a, asked, m.Registrar == "")
	return nil
}

// memberReport makes the next report to relay.
func (h *Host) memberReport(relay string, r adopter.Report) MemberReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sequence++
	m := MemberReport{Member: h.holder(r).OwnReport(), Sequence: h.sequence}
	// The relay notes when it hears of this host.
	m.Member.ReportedAt = time.Time{}
	if id, ok := h.state.Registrar(); ok && strings.HasPrefix(id, relay+"/") {
		m.Registrar = id
	}
	return m
}

// held takes in that a relay's object holds this host.
func (h *Host) held(a Advice, asked time.Duration, fresh bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.departed {
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
	h.takeSight(*a.Sight, asked)
}

// release gives up what this host doesn't count on any more: its own object once
// it is registered through a relay, and its entries at former relays.
func (h *Host) release(ctx context.Context) {
	id, ok := h.registrar()
	if !ok {
		return
	}
	if id != "" && h.object.Name != "" {
		h.retire(ctx)
	}
	for _, r := range h.formerRelays() {
		h.leaveRelay(ctx, r)
	}
}

func (h *Host) registrar() (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Registrar()
}

// formerRelays returns the relays to tell that this host left, and forgets them:
// where a relay can't be told, an operator takes the entry out after a lapse.
func (h *Host) formerRelays() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var l []string
	for r := range h.former {
		l = append(l, r)
	}
	clear(h.former)
	return l
}

func (h *Host) leaveRelay(ctx context.Context, relay string) {
	c, cancel := context.WithTimeout(WithoutWaiting(ctx), retireTimeout)
	defer cancel()
	m := h.memberReport(relay, h.toReport())
	m.Registrar, m.Leaving = "", true
	if _, err := h.Relays.Consult(c, relay, h.consultation(0, retireTimeout, &m)); err != nil {
		h.Log.WithError(err).WithField("relay", relay).Warn("former relay not told")
	}
}

// Depart has the host not count any more, once it has no caller and while it
// can still reach its relay. Otherwise the next change would wait for it.
func (h *Host) Depart(ctx context.Context) {
	h.once.Do(h.init)
	if r := h.unregister(); r != "" {
		h.leaveRelay(ctx, r)
	}
}

// unregister ends the registration through a relay for good and returns the
// relay. A host that has its own object frees it at the end of Run.
func (h *Host) unregister() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.relayed() {
		h.departed = true
		h.state.MarkUnregistered()
	}
	return h.relay
}
