package adopter_test

import (
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/config/adopter"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
)

// A relay's answer is late, or describes its object as of before the host sent its report. Meanwhile
// an operator may have removed the host from the object. A host that relied on the answer would
// report its revision as confirmed while another one is in force.
func TestReceipts(t *testing.T) {
	const asked = time.Second
	for _, c := range []struct {
		name       string
		registered bool
		receipt    adopter.Receipt
		now        time.Duration
		want       bool
	}{
		{"written after the report", false, adopter.Receipt{Registrar: "r", Fresh: true}, asked, true},
		{"written before the report", false, adopter.Receipt{Registrar: "r"}, asked, false},
		{"later than a lease", false, adopter.Receipt{Registrar: "r", Fresh: true}, asked + lease, false},
		{"still registered", true, adopter.Receipt{Registrar: "first"}, asked, true},
		{"another relay's earlier object", true, adopter.Receipt{Registrar: "r"}, asked, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &adopter.State{}
			s.ObserveHead(accepted(1), 1, 0, 0)
			if c.registered {
				s.ProcessReceipt(adopter.Receipt{Registrar: "first", Fresh: true}, 0)
			}
			c.receipt.AskedAt = asked
			s.ProcessReceipt(c.receipt, c.now)
			if id, ok := s.Registrar(); ok != c.want || ok && id != c.receipt.Registrar {
				t.Errorf("registered %t at %q", ok, id)
			}
		})
	}
}

// A host acknowledged through one relay, and the late answer of another one shows it without the
// acknowledgement. That entry may have been removed because the acknowledgement was missing.
func TestReceiptBelowAcknowledgement(t *testing.T) {
	s := confirmed(t)
	s.ObserveHead(staged(1, 2), 2, 0, 0)
	s.MarkFetched(2)
	report(s, 0)
	s.ProcessReceipt(adopter.Receipt{Registrar: "r", Report: adopter.Report{Ready: 1}, Fresh: true}, 0)
	if id, ok := s.Registrar(); !ok || id != "" {
		t.Errorf("registered %t at %q", ok, id)
	}
}

// A host registers shortly before a staged revision is withdrawn and is paused. Its entry is removed
// and the revision withdrawn before it reads the head again.
func TestUnconfirmedRegistrationExpires(t *testing.T) {
	s := &adopter.State{}
	s.ObserveHead(accepted(1), 1, 0, 0)
	s.MarkFetched(1)
	s.ObserveHead(accepted(1), 1, 2*time.Second, 2*time.Second)
	s.ProcessReceipt(adopter.Receipt{AskedAt: time.Second, Fresh: true}, 3*time.Second)
	s.ObserveHead(accepted(1), 3, time.Second+lease, time.Second+lease)
	expect(t, s, 1, adopter.Unconfirmed, time.Second+lease)
	if _, due := s.Report(); !due {
		t.Error("no report is due, so the host doesn't register again")
	}
}

// A relay's answer arrives late, or is forwarded by a second relay. The lease must end as if the host
// had called the platform before it sent the relay its question.
func TestSightAge(t *testing.T) {
	const age = 5 * time.Second
	r, s := confirmed(t), confirmed(t)
	r.ObserveHead(accepted(1), 2, 0, 0)
	x, ok := r.Sight(1, age)
	if !ok || x.Age != age || x.Head == nil {
		t.Fatalf("sight %+v, %t", x, ok)
	}
	const asked = 7 * time.Second
	s.ObserveSight(x, asked, asked+time.Second)
	expect(t, s, 1, adopter.Confirmed, asked-age+lease-1)
	expect(t, s, 1, adopter.Unconfirmed, asked-age+lease)
	if y, _ := s.Sight(2, asked); y.Head != nil || y.Age != age {
		t.Errorf("forwards %+v", y)
	}
	s.ObserveSight(adopter.Sight{Version: 2, Age: age}, asked+1, asked+time.Second)
	expect(t, s, 1, adopter.Unconfirmed, asked+1-age+lease)
	s.ObserveSight(adopter.Sight{Version: 1, Head: &encoder.Head{}, Age: 0}, asked, asked)
	s.ObserveSight(adopter.Sight{Version: 3, Age: 0}, asked, asked)
	expect(t, s, 1, adopter.Unconfirmed, asked+1-age+lease)
}

// A relay holds a question back and answers it late. The asking host counts from when it sent the
// question, so the time in between must not make the sight older, and a sight taken after the
// question arrived must not count as newer than the question.
func TestSightOfHeldQuestion(t *testing.T) {
	const age = 5 * time.Second
	r := confirmed(t)
	r.ObserveHead(accepted(1), 2, 0, 0)
	x, _ := r.Sight(1, age)
	if y := x.AsOfArrival(2 * time.Second); y.Age != age-2*time.Second {
		t.Errorf("age %s at the question, %s at the answer 2 s later", y.Age, age)
	}
	if y := x.AsOfArrival(age + time.Second); y.Age != 0 {
		t.Errorf("age %s of a sight from after the question", y.Age)
	}
}

// A relay registers a host and shows a head from before the registration. Another revision may have
// been staged and accepted in between without the host.
func TestRegistrationIsConfirmedBySameAnswer(t *testing.T) {
	const asked = 5 * time.Second
	s := confirmed(t)
	s.ObserveHead(accepted(1), 1, 2*time.Second, 2*time.Second)
	s.ProcessReceipt(adopter.Receipt{Registrar: "r", AskedAt: asked, Fresh: true}, asked+time.Second)
	expect(t, s, 1, adopter.Unconfirmed, asked+time.Second)
	s.ConfirmRegistration("r", asked, time.Second)
	expect(t, s, 1, adopter.Unconfirmed, asked+time.Second)
	s.ObserveSight(adopter.Sight{Version: 1, Age: time.Second}, asked, asked+time.Second)
	expect(t, s, 1, adopter.Confirmed, asked+time.Second)
}
