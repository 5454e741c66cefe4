package adopter_test

import (
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/config/adopter"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
)

const lease = adopter.DefaultLease

func staged(accepted, r declarer.Revision) encoder.Head {
	return encoder.Head{Accepted: accepted, Highest: r, Staged: &encoder.Entry{Revision: r}}
}

func accepted(r declarer.Revision) encoder.Head {
	return encoder.Head{Accepted: r, Highest: r}
}

// confirmed returns a host that has revision 1 in force, confirmed at 0.
func confirmed(t *testing.T) *adopter.State {
	t.Helper()
	s := &adopter.State{}
	s.ObserveHead(accepted(1), 1, 0, 0)
	s.MarkFetched(1)
	report(s, 0)
	expect(t, s, 1, adopter.Confirmed, 0)
	return s
}

func report(s *adopter.State, now time.Duration) {
	r, _ := s.Report()
	s.MarkReported(r, now)
}

func expect(t *testing.T, s *adopter.State, r declarer.Revision, g adopter.Standing, now time.Duration) {
	t.Helper()
	if s.InForce != r || s.Standing(now) != g {
		t.Errorf("revision %d is %s, want %d %s", s.InForce, s.Standing(now), r, g)
	}
}

func TestChange(t *testing.T) {
	s := confirmed(t)
	s.ObserveHead(staged(1, 2), 2, time.Second, time.Second)
	expect(t, s, 1, adopter.Changing, time.Second)
	if r := s.Wanted(); r != 2 {
		t.Errorf("wanted revision is %d", r)
	}
	s.MarkFetched(2)
	if r, due := s.Report(); !due || r.Ready != 2 || r.InForce != 1 {
		t.Errorf("reports %+v, due %t", r, due)
	}
	report(s, time.Second)
	s.ObserveHead(accepted(2), 3, time.Second, time.Second)
	expect(t, s, 2, adopter.Confirmed, time.Second)
	if r, due := s.Report(); !due || r.InForce != 2 {
		t.Errorf("reports %+v, due %t", r, due)
	}
}

func TestWithdrawal(t *testing.T) {
	s := confirmed(t)
	s.ObserveHead(staged(1, 2), 2, 0, 0)
	s.MarkFetched(2)
	report(s, 0)
	s.ObserveHead(encoder.Head{Accepted: 1, Highest: 2}, 3, 0, 0)
	expect(t, s, 1, adopter.Confirmed, 0)
}

// A peer that observed the acceptance earlier sends a message of a request. The host already has the
// file and moves up before it handles the message.
func TestPeerIsAhead(t *testing.T) {
	s := confirmed(t)
	s.ObserveHead(staged(1, 2), 2, 0, 0)
	s.MarkFetched(2)
	if check := adopter.CheckRevision(s.InForce, 2); check != adopter.MoveUp {
		t.Errorf("check gives %s", check)
	}
	if !s.ObserveAccepted(2) {
		t.Error("didn't move up")
	}
	if v := adopter.CheckRevision(s.InForce, 1); v != adopter.Outdated {
		t.Errorf("check gives %s for a message of an older revision", v)
	}
}

// The platform's answer arrives eleven seconds after the call was sent, because the host was paused
// or the network slow. Another revision may come into force without the host soon after, so with a
// lease counted from the answer the host would report an outdated limit as confirmed.
func TestLeaseCountsFromCall(t *testing.T) {
	s := confirmed(t)
	s.ObserveHead(accepted(1), 1, 0, lease-time.Second)
	expect(t, s, 1, adopter.Confirmed, lease-time.Second)
	expect(t, s, 1, adopter.Unconfirmed, lease)
}

// Two answers of the platform arrive out of order. The older one doesn't show the staged revision,
// which may have been accepted meanwhile.
func TestOutOfOrderAnswerIsIgnored(t *testing.T) {
	s := confirmed(t)
	s.ObserveHead(staged(1, 2), 2, 0, 0)
	s.ObserveHead(accepted(1), 1, time.Second, time.Second)
	expect(t, s, 1, adopter.Changing, time.Second)
}

// A host can read from the platform but not write to it, so it never acknowledges the staged
// revision. After the timeout the operator continues without it and retires its object; the next
// revision doesn't wait for it.
func TestAcceptedWithoutAcknowledgement(t *testing.T) {
	s := confirmed(t)
	s.ObserveHead(staged(1, 2), 2, time.Second, time.Second)
	s.ObserveHead(accepted(2), 3, 2*time.Second, 2*time.Second)
	s.MarkFetched(2)
	expect(t, s, 2, adopter.Unconfirmed, 2*time.Second)
	report(s, 3*time.Second)
	expect(t, s, 2, adopter.Unconfirmed, 3*time.Second)
	s.ObserveHead(accepted(2), 3, 4*time.Second, 4*time.Second)
	expect(t, s, 2, adopter.Confirmed, 4*time.Second)
}

// An availability zone was cut off for an hour while a revision was staged. It returns with an old
// revision in force, which it must not report as confirmed.
func TestComesBackWithOldRevision(t *testing.T) {
	s := confirmed(t)
	s.ObserveHead(staged(1, 2), 2, 0, 0)
	s.MarkFetched(2)
	report(s, 0)
	expect(t, s, 1, adopter.Unconfirmed, time.Hour)
	s.ObserveHead(accepted(7), 30, time.Hour, time.Hour)
	expect(t, s, 1, adopter.Changing, time.Hour)
	s.MarkFetched(7)
	expect(t, s, 7, adopter.Unconfirmed, time.Hour)
	report(s, time.Hour)
	s.ObserveHead(accepted(7), 30, time.Hour, time.Hour)
	expect(t, s, 7, adopter.Confirmed, time.Hour)
}

// The platform was restored from a backup and shows a lower revision than the hosts have in force. A
// host that followed it would restore outdated limits.
func TestLowerRevisionIsNotFollowed(t *testing.T) {
	s := confirmed(t)
	s.ObserveAccepted(5)
	s.MarkFetched(5)
	s.ObserveHead(accepted(3), 9, 0, 0)
	s.MarkFetched(3)
	if s.InForce != 5 {
		t.Errorf("went down to %d", s.InForce)
	}
}

// A zone can't reach the platform, but it can reach a confirmed peer in another zone, which renews
// the lease.
func TestPeerRenewsLease(t *testing.T) {
	a, b := confirmed(t), confirmed(t)
	a.ObserveHead(accepted(1), 1, 10*time.Second, 10*time.Second)
	c, ok := a.Claim(11 * time.Second)
	if !ok {
		t.Fatal("no claim")
	}
	b.Renew(c, 11*time.Second, 11*time.Second)
	expect(t, b, 1, adopter.Confirmed, 20*time.Second)
	expect(t, b, 1, adopter.Unconfirmed, 22*time.Second)
	if _, ok := b.Claim(22 * time.Second); ok {
		t.Error("an unconfirmed host returned a claim")
	}
}

func TestRefusalIsReportedOnce(t *testing.T) {
	s := confirmed(t)
	s.ObserveHead(staged(1, 2), 2, 0, 0)
	s.MarkRefused(2, "unknown key")
	r, due := s.Report()
	if !due || r.Refused != 2 || r.Reason == "" {
		t.Fatalf("reports %+v, due %t", r, due)
	}
	s.MarkReported(r, 0)
	if _, due := s.Report(); due || s.Wanted() != 0 {
		t.Error("a report or file is due after the refusal was reported")
	}
}

// A host didn't acknowledge the staged revision and receives it as in force from a peer. That
// revision was accepted without this host, so the next one may be as well.
func TestMovedUpWithoutAcknowledgement(t *testing.T) {
	s := confirmed(t)
	s.ObserveHead(staged(1, 2), 2, time.Second, time.Second)
	s.MarkFetched(2)
	s.ObserveAccepted(2)
	expect(t, s, 2, adopter.Unconfirmed, 2*time.Second)
}
