package signer

import (
	"encoding/base64"
	"encoding/binary"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/session/tracker"
)

var (
	oldKey = Key{ID: 1, Secret: []byte("0123456789abcdef")}
	newKey = Key{ID: 2, Secret: []byte("fedcba9876543210")}
	marks  = []tracker.GroupMark{
		{DatabaseGroup: "kalkul-1", Mark: marker.Mark{Term: 3, Position: 1_000_000}},
		{DatabaseGroup: "kalkul-2", Mark: marker.Mark{Term: 1, Position: 7}},
	}
)

func sign(t testing.TB, s Signer) string {
	t.Helper()
	k, err := s.Sign(marks)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// A token with a lower mark than the session's own must not move the mark down, or the session
// reads older data than before.
func TestRestore(t *testing.T) {
	s := Signer{Deployment: "ost", Keys: []Key{oldKey}}
	var r tracker.Tracker
	r.Raise("kalkul-2", marker.Mark{Term: 2, Position: 1})
	if err := s.Restore(sign(t, s), []string{"kalkul-1", "kalkul-2", "kalkul-3"}, &r); err != nil {
		t.Fatal(err)
	}
	want := []tracker.GroupMark{
		{DatabaseGroup: "kalkul-2", Mark: marker.Mark{Term: 2, Position: 1}},
		marks[0],
	}
	if d := cmp.Diff(want, r.Marks); d != "" {
		t.Errorf("marks (-want +got):\n%s", d)
	}
}

// If a rotation rejects tokens signed with the previous key while that key is still accepted, callers
// lose the marks of their sessions.
func TestKeyRotation(t *testing.T) {
	before := Signer{Deployment: "ost", Keys: []Key{oldKey}}
	both := Signer{Deployment: "ost", Keys: []Key{newKey, oldKey}}
	after := Signer{Deployment: "ost", Keys: []Key{newKey}}
	if _, err := both.Verify(sign(t, before)); err != nil {
		t.Errorf("token signed with the old key while both keys are accepted: %v", err)
	}
	if _, err := after.Verify(sign(t, both)); err != nil {
		t.Errorf("token signed during the rotation, verified after it: %v", err)
	}
	if _, err := after.Verify(sign(t, before)); !errors.Is(err, ErrUnknownKey) {
		t.Errorf("token signed with the removed key: error %v, want %v", err, ErrUnknownKey)
	}
}

// A caller sends a forged token, one of another deployment, or one that was truncated when it was
// stored. If it is accepted, the session's reads may wait for a position that no server reaches, or
// return data older than the session's own writes.
func TestInvalidTokensAreRejected(t *testing.T) {
	s := Signer{Deployment: "ost", Keys: []Key{oldKey}}
	good := sign(t, s)
	raw, err := base64.RawURLEncoding.DecodeString(good)
	if err != nil {
		t.Fatal(err)
	}
	for n := range len(good) {
		if _, err := s.Verify(good[:n]); err == nil {
			t.Errorf("token truncated to %d bytes is accepted", n)
		}
	}
	for i := range len(raw) * 8 {
		b := append([]byte(nil), raw...)
		b[i/8] ^= 1 << (i % 8)
		if _, err := s.Verify(base64.RawURLEncoding.EncodeToString(b)); err == nil {
			t.Errorf("token with bit %d flipped is accepted", i)
		}
	}
	long := binary.BigEndian.AppendUint32([]byte{version}, oldKey.ID)
	tests := []struct {
		name, token string
		want        error
	}{
		{name: "empty", token: "", want: ErrMalformed},
		{name: "not base 64", token: "§§", want: ErrMalformed},
		{name: "too long", token: base64.RawURLEncoding.EncodeToString(append(long, make([]byte, 4096)...)), want: ErrMalformed},
		{name: "other deployment, same key", token: sign(t, Signer{Deployment: "west", Keys: []Key{oldKey}}), want: ErrDeployment},
		{name: "same key id, other secret", token: sign(t, Signer{Deployment: "ost", Keys: []Key{{ID: 1, Secret: newKey.Secret}}}), want: ErrSignature},
		{name: "unknown key", token: sign(t, Signer{Deployment: "ost", Keys: []Key{newKey}}), want: ErrUnknownKey},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if _, err := s.Verify(tt.token); !errors.Is(err, tt.want) {
				t.Errorf("error = %v, want %v", err, tt.want)
			}
		})
	}
}

func BenchmarkSign(b *testing.B) {
	s := Signer{Deployment: "ost", Keys: []Key{oldKey}}
	b.ReportAllocs()
	for b.Loop() {
		s.Sign(marks)
	}
}

func BenchmarkOpen(b *testing.B) {
	s := Signer{Deployment: "ost", Keys: []Key{oldKey}}
	k := sign(b, s)
	b.ReportAllocs()
	for b.Loop() {
		s.Verify(k)
	}
}
