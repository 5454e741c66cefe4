package matcher

import "testing"

// A cancel reaches any entry host, which finds the right one by the key alone. A key
// that named another host, or a negative number, would leave the request running.
func TestKeysNameTheirHost(t *testing.T) {
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
			t.Errorf("a session number that is too long changes the host: %+v", k)
		}
	}
}
