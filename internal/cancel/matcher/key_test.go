package matcher

import "testing"

// An entry host that receives a cancel request finds the host of the session by the key alone. With a
// key that identifies another host, or that is negative as a signed number, the request wouldn't be
// cancelled.
func TestKeyIdentifiesHost(t *testing.T) {
	for _, h := range []string{"entry-1", "entry-2", "ost-wien-1", "krakow-a-9"} {
		seen := map[uint32]bool{}
		for n := range uint32(sessionMask + 1) {
			k := NewKey(IDOf(h), n, 7)
			if k.Host() != IDOf(h) || k.ProcessID>>31 != 0 || k.Secret != 7 || seen[k.ProcessID] {
				t.Fatalf("session %d of host %s got %+v", n, h, k)
			}
			seen[k.ProcessID] = true
		}
		if k := NewKey(IDOf(h), sessionMask+2, 7); k.Host() != IDOf(h) {
			t.Errorf("session number with too many bits changes the host: %+v", k)
		}
	}
}
