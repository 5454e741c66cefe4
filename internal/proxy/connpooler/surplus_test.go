package connpooler

import (
	"testing"
	"testing/synctest"
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
		p.Close()
	})
}
