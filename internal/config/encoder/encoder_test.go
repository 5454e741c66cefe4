package encoder_test

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/defaulter"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
	peer "github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// largeFile returns a configuration of n database groups of three backend servers,
// with a team and a routing rule for each.
func largeFile(n int) declarer.File {
	r := rand.NewChaCha8([32]byte{1})
	var f declarer.File
	for i := range n {
		g := declarer.DatabaseGroup{Name: fmt.Sprintf("group-%d", i), Service: fmt.Sprintf("service-%d", i/3)}
		for j := range 3 {
			g.BackendServers = append(g.BackendServers, declarer.BackendServer{
				Name: fmt.Sprintf("group-%d-%d", i, j), Address: fmt.Sprintf("10.%d.%d.%d:5432", j, i/250, i%250),
				AvailabilityZone: fmt.Sprintf("zone-%d", (i+j)%26), Region: fmt.Sprintf("region-%d", (i+j)%7),
				Slots: 2, Connections: 16,
			})
		}
		f.DatabaseGroups = append(f.DatabaseGroups, g)
		f.RoutingRules = append(f.RoutingRules, declarer.RoutingRule{Name: g.Name, Match: declarer.Match{DatabaseGroup: g.Name}})
		f.Teams = append(f.Teams, declarer.Team{Name: "team-" + g.Name, DatabaseGroups: []string{g.Name}, Roles: []declarer.Role{
			{Name: "role-" + g.Name, Verifier: randomVerifier(r)},
		}})
	}
	return defaulter.Fill(f)
}

// randomVerifier returns a verifier that compresses as badly as a real one.
func randomVerifier(r *rand.ChaCha8) string {
	var b [80]byte
	_, _ = r.Read(b[:])
	e := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("SCRAM-SHA-256$4096:%s$%s:%s", e(b[:16]), e(b[16:48]), e(b[48:]))
}

func TestPackAndUnpack(t *testing.T) {
	f := largeFile(10)
	f.EditedFrom = 7
	p, d, err := encoder.Pack(f)
	if err != nil {
		t.Fatal(err)
	}
	g, err := encoder.Unpack(encoder.Body{Revision: 1, Digest: d, Packed: p})
	if err != nil {
		t.Fatal(err)
	}
	f.EditedFrom = 0
	if s := cmp.Diff(f, *g); s != "" {
		t.Error(s)
	}
	if _, err := encoder.Unpack(encoder.Body{Revision: 1, Digest: strings.Repeat("0", 64), Packed: p}); !errors.Is(err, encoder.ErrDigest) {
		t.Errorf("wrong digest: error %v, want ErrDigest", err)
	}
	if _, err := encoder.Unpack(encoder.Body{Revision: 1, Digest: d, Packed: p[:len(p)/2]}); !errors.Is(err, encoder.ErrDigest) {
		t.Errorf("truncated file: error %v, want ErrDigest", err)
	}
}

func TestLargeFileFitsOneObject(t *testing.T) {
	p, _, err := encoder.Pack(largeFile(2800))
	if err != nil {
		t.Fatal(err)
	}
	b, err := encoder.Encode(encoder.Body{Revision: 1, Packed: p})
	if err != nil || len(b) > accessor.MaximumValueBytes {
		t.Errorf("object of %d bytes, error %v", len(b), err)
	}
	t.Logf("2800 database groups: %d bytes packed, object of %d", len(p), len(b))
}

func TestNextRevisionSkipsAcceptedSlot(t *testing.T) {
	for _, c := range []struct {
		accepted, highest, want declarer.Revision
	}{
		{0, 0, 1},
		{5, 5, 6},
		{5, 4 + encoder.RevisionSlots, 6 + encoder.RevisionSlots},
		{5, 5 + encoder.RevisionSlots, 6 + encoder.RevisionSlots},
	} {
		if r := encoder.NextRevision(encoder.Head{Accepted: c.accepted, Highest: c.highest}); r != c.want {
			t.Errorf("accepted %d, highest %d: next is %d, want %d", c.accepted, c.highest, r, c.want)
		}
	}
}

func BenchmarkPack(b *testing.B) {
	f := largeFile(2800)
	for b.Loop() {
		if _, _, err := encoder.Pack(f); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkUnpack(b *testing.B) {
	p, d, err := encoder.Pack(largeFile(2800))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := encoder.Unpack(encoder.Body{Digest: d, Packed: p}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkFile reports the size of a file of n groups per group, packed as the platform
// stores it and unpacked as each entry host holds it in memory.
func BenchmarkFile(b *testing.B) {
	for _, n := range []int{28, 280, 2800} {
		b.Run(fmt.Sprintf("groups=%d", n), func(b *testing.B) {
			c := packedBody(b, n)
			var f *declarer.File
			before := heapInUse()
			for b.Loop() {
				var err error
				if f, err = encoder.Unpack(c); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(c.Packed))/float64(n), "packed-B/group")
			b.ReportMetric(float64(heapInUse()-before)/float64(n), "heap-B/group")
			runtime.KeepAlive(f)
		})
	}
}

// packedBody packs a file of n groups. It is a function of its own, so that the unpacked file
// isn't counted as heap in use.
func packedBody(b *testing.B, n int) encoder.Body {
	p, d, err := encoder.Pack(largeFile(n))
	if err != nil {
		b.Fatal(err)
	}
	return encoder.Body{Digest: d, Packed: p}
}

// heapInUse returns the bytes of heap in use after garbage collection.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC() // the first collection only moves pooled objects to the victim cache
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// The change in the head may contain verifiers of roles. Guards against disclosing them
// where the head is shown as JSON, for instance by status, and against omitting the change
// from the stored object or from messages of relays: each host would then fetch the whole
// file.
func TestChangeIsStoredButNotShown(t *testing.T) {
	h := encoder.Head{Accepted: 1, Staged: &encoder.Entry{Revision: 2}, Change: &encoder.Change{Revision: 2, Base: 1, Packed: []byte{1}}}
	v, err := encoder.Encode(h)
	if err != nil {
		t.Fatal(err)
	}
	g, err := encoder.Decode[encoder.Head](accessor.Object{Version: 1, Value: v})
	if s := cmp.Diff(h, g); s != "" || err != nil {
		t.Error(s, err)
	}
	var p encoder.Head
	b, err := peer.Marshal(h)
	if err != nil {
		t.Fatal(err)
	}
	if err := peer.Unmarshal(b, &p); err != nil || !p.Change.Matches(1, 2) {
		t.Errorf("sent between hosts as %+v, error %v", p.Change, err)
	}
	if s, err := json.Marshal(h); err != nil || strings.Contains(string(s), "change") {
		t.Errorf("JSON contains the change: %s, error %v", s, err)
	}
}
