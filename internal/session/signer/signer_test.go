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

func TestRotation(t *testing.T) {
	before := Signer{Deployment: "ost", Keys: []Key{oldKey}}
	both := Signer{Deployment: "ost", Keys: []Key{newKey, oldKey}}
	after := Signer{Deployment: "ost", Keys: []Key{newKey}}
	if _, err := both.Verify(sign(t, before)); err != nil {
		t.Errorf("old key while both are accepted: %v", err)
	}
	if _, err := after.Verify(sign(t, both)); err != nil {
		t.Errorf("token of the rotation after it: %v", err)
	}
	if _, err := after.Verify(sign(t, before)); !errors.Is(err, ErrUnknownKey) {
		t.Errorf("dropped key: error %v, want %v", err, ErrUnknownKey)
	}
}

// A caller sends a mark that it made up, took from another deployment, or cut
// while storing it. Taken as it is, it could make the session's reads wait for
// a position that never comes, or show data older than its own writes.
func TestBadTokensAreRefused(t *testing.T) {
	s := Signer{Deployment: "ost", Keys: []Key{oldKey}}
	good := sign(t, s)
	raw, err := base64.RawURLEncoding.DecodeString(good)
	if err != nil {
		t.Fatal(err)
	}
	for n := range len(good) {
		if _, err := s.Verify(good[:n]); err == nil {
			t.Errorf("token cut to %d bytes is accepted", n)
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
