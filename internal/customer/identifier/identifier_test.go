package identifier

import (
	"strings"
	"testing"

	"github.com/juju/errors"
)

func TestCustomer(t *testing.T) {
	k := make(Keys)
	k.Add(DigestOf("one"), "a")
	k.Add(DigestOf("two"), "a")
	k.Add(DigestOf("two"), "a")
	k.Add(DigestOf("both"), "a")
	k.Add(DigestOf("both"), "b")
	for name, c := range map[string]struct {
		key  string
		want string
		ok   bool
	}{
		"key":                   {"one", "a", true},
		"declared twice by one": {"two", "a", true},
		"of two customers":      {"both", "", false},
		"unknown":               {"three", "", false},
		"empty":                 {"", "", false},
		"part of a key":         {"on", "", false},
	} {
		t.Run(name, func(t *testing.T) {
			if got, ok := k.Customer(DigestOf(c.key)); got != c.want || ok != c.ok {
				t.Errorf("customer %q, %v; want %q, %v", got, ok, c.want, c.ok)
			}
		})
	}
}

// Guards against a key that is written out with the digest that stands for it.
func TestDigestShowsNoKey(t *testing.T) {
	b, err := DigestOf("urtyiikdrbn4ryrbbkf8").MarshalText()
	if err != nil || strings.Contains(string(b), "urty") {
		t.Fatalf("text %q, %v", b, err)
	}
	var d Digest
	if err := d.UnmarshalText(b); err != nil || d != DigestOf("urtyiikdrbn4ryrbbkf8") {
		t.Errorf("decoded %v, %v", d, err)
	}
	for _, s := range []string{"", "!", "AAAA", string(b) + "AAAA"} {
		if err := d.UnmarshalText([]byte(s)); !errors.Is(err, ErrDigest) {
			t.Errorf("text %q: %v, want ErrDigest", s, err)
		}
	}
}

// Guards against clients that send wild keys and cost the host much. One refusal takes a digest and
// a lookup.
func BenchmarkUnknownKey(b *testing.B) {
	k := make(Keys)
	for i := range 160 {
		k.Add(DigestOf(strings.Repeat("k", i+1)), "a")
	}
	for b.Loop() {
		if _, ok := k.Customer(DigestOf("urtyiikdrbn4ryrbbkf8")); ok {
			b.Fatal("unknown key accepted")
		}
	}
}
