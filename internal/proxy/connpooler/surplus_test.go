package connpooler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// Guards against a connection on which the server has sent something after its last answer, and which is kept
// for the next session.
func TestConnectionWithUnreadBytesIsClosedAfterItsUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServer{limit: 2}
		p := newPool(f)
		l := acquire(t, p)
		l.Connection.(*fakeConnection).ended = true
		l.Release(false)
		if f.open != 0 {
			t.Errorf("%d connections open", f.open)
		}
	})
}

// Guards against a recovery that takes a surplus answer for the one of an abandoned statement, which comes
// after it.
func TestRecoveredConnectionWithUnreadBytesIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServer{limit: 2}
		p := newPool(f)
		l := acquire(t, p)
		x := l.Connection.(*fakeConnection)
		_ = l.Send([]declarer.Request{{Verb: declarer.VerbBegin}}, time.Time{})
		x.ended = true
		l.Release(false) // recovers it, as an answer is pending
		time.Sleep(recoverTimeout)
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.open != 0 {
			t.Errorf("%d connections open", f.open)
		}
	})
}

// Guards against a session that runs with values that the server has refused to set: an abandoned statement was sent
// with them.
func TestRecoveredConnectionAfterErrorIsReset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServer{limit: 2}
		p := newPool(f)
		l := acquire(t, p)
		l.Values["zone"], l.Prepared["r_q"] = "SET zone a", struct{}{}
		l.Connection.(*fakeConnection).code = declarer.CodeBusy
		_ = l.Send([]declarer.Request{{Verb: declarer.VerbSet}, {Verb: declarer.VerbRead}}, time.Time{})
		l.Release(false) // recovers it, as answers are pending
		time.Sleep(recoverTimeout)
		n := acquire(t, p)
		defer n.Release(false)
		if n != l || len(n.Values) > 0 || len(n.Prepared) > 0 || f.sent[len(f.sent)-1] != declarer.VerbReset {
			t.Errorf("values %v, prepared %v, sent %v", n.Values, n.Prepared, f.sent)
		}
	})
}
