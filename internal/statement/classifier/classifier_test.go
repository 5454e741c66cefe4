package classifier

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// kindNames holds the names of the kinds in the golden file, in the order of the constants.
var kindNames = strings.Fields(`unparsed empty read write begin commit rollback savepoint set reset reset-all
	set-transaction set-characteristics show prepare execute deallocate copy-in copy-out declare fetch close
	listen unlisten notify lock discard`)

// describe returns all fields of s that aren't zero, on one line.
func describe(s Statement) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s replica=%t writes=%t", kindNames[s.Kind], s.ReplicaSafe, s.Writes)
	show := func(name string, v any, set bool) {
		if set {
			fmt.Fprintf(&b, " %s=%v", name, v)
		}
	}
	show("pin", s.Pin, s.Pin != PinNone)
	show("refusal", fmt.Sprintf("%q", s.Refusal.String()), s.Refusal != RefusalNone)
	show("hidden", s.HiddenState, s.HiddenState)
	show("sequence", s.SequenceState, s.SequenceState)
	show("own", s.CuminwickSetting, s.CuminwickSetting)
	show("tag", s.Tag, s.Tag != "")
	show("key", s.IdempotencyKey, s.IdempotencyKey != "")
	show("age", s.MaximumAge, s.HasMaximumAge)
	for _, p := range s.Parts {
		fmt.Fprintf(&b, " [%s", kindNames[p.Kind])
		show("name", p.Name, p.Name != "")
		show("value", p.Value, p.Value != "")
		show("sql", p.SQLValue, p.SQLValue != "")
		show("local", p.Local, p.Local)
		show("chain", p.Chain, p.Chain)
		show("access", p.Access, p.Access != AccessDefault)
		show("deferrable", p.Deferrable, p.Deferrable)
		show("isolation", p.Isolation, p.Isolation != "")
		b.WriteString("]")
	}
	return b.String()
}

func TestClassify(t *testing.T) {
	in, err := os.ReadFile("testdata/statements.sql")
	if err != nil {
		t.Fatal(err)
	}
	var c Classifier
	var b strings.Builder
	for _, l := range strings.Split(strings.TrimSpace(string(in)), "\n") {
		s, err := c.Classify(l)
		if err != nil {
			t.Errorf("Classify(%q): %v", l, err)
		}
		fmt.Fprintf(&b, "%s\n\t%s\n", l, describe(s))
	}
	const golden = "testdata/statements.golden"
	if *update {
		if err := os.WriteFile(golden, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(string(want), b.String()); d != "" {
		t.Errorf("classification differs from the golden file (-want +got):\n%s", d)
	}
}

// The parser would read a text up to its zero byte only, and miss the statements after it.
func TestZeroByteIsRefused(t *testing.T) {
	var c Classifier
	if _, err := c.Classify("SELECT 1\x00; DELETE FROM a"); !errors.Is(err, ErrZeroByte) {
		t.Errorf("error = %v, want %v", err, ErrZeroByte)
	}
}

// A caller sends a text that nests too deeply, by mistake or on purpose. The parser's C stack overflows,
// which ends the process of the entry host and with it the sessions of all callers. Such texts must
// not be parsed.
func TestDeepTextsDoNotEndTheProcess(t *testing.T) {
	for _, w := range []string{"+1", "::t", " UNION SELECT 1", " JOIN a ON true", " COLLATE c", "||a", "[1]", " AND (b OR a"} {
		for _, n := range []int{8000, 60000} {
			parse("SELECT 1 FROM a WHERE a" + strings.Repeat(w, n))
			parse("SELECT a" + strings.Repeat(w, n))
		}
	}
	for _, w := range []string{"(", "NOT ", "- ", "SELECT (", "array[", "case when a then "} {
		for _, n := range []int{8000, 60000} {
			parse("SELECT " + strings.Repeat(w, n))
		}
	}
}

// A long text that isn't parsed may hide a statement that needs a pinned connection. Only a single
// write without a known function is classified without its tree.
func TestLongTexts(t *testing.T) {
	rows := "(1, 'x')" + strings.Repeat(", (1, 'x')", 5000)
	tests := []struct {
		name, sql string
		kind      Kind
		pin       Pin
	}{
		{name: "plain insert", sql: "INSERT INTO a VALUES " + rows, kind: KindWrite},
		{name: "insert with many casts", sql: "INSERT INTO a VALUES " + strings.Repeat("('x'::text), ", 5000) + "('')", kind: KindWrite},
		{name: "insert with many casts and a lock", sql: "INSERT INTO a VALUES " + strings.Repeat("('x'::text), ", 5000) + "(pg_advisory_lock(1))", kind: KindUnparsed, pin: PinUnparsed},
		{name: "two statements with many casts", sql: "INSERT INTO a VALUES " + strings.Repeat("('x'::text), ", 5000) + "(''); LISTEN c", kind: KindUnparsed, pin: PinUnparsed},
		{name: "long list", sql: "SELECT 1 FROM a WHERE b IN (1" + strings.Repeat(", 1", 20000) + ")", kind: KindRead},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := parse(tt.sql)
			if s.Kind != tt.kind || s.Pin != tt.pin {
				t.Errorf("kind %v, pin %v, want %v, %v", s.Kind, s.Pin, tt.kind, tt.pin)
			}
		})
	}
}

// Texts that differ with each request fill the cache. If evicted entries stay counted, or aren't evicted
// in time, the cache shrinks or grows without bound.
func TestCacheIsBounded(t *testing.T) {
	c := Classifier{MaximumEntries: 160, MaximumBytes: 160 << 10}
	var w sync.WaitGroup
	for g := range 4 {
		w.Go(func() {
			for i := range 1000 {
				c.Classify(fmt.Sprintf("SELECT %d -- %s", i, strings.Repeat("x", 100*g)))
			}
		})
	}
	w.Wait()
	for i := range c.shards {
		d := &c.shards[i]
		sum := 0
		for _, k := range d.texts.Keys() {
			v, _ := d.texts.Peek(k)
			sum += entryBytes(k, v)
		}
		if sum != d.bytes || sum > 10<<10 || d.texts.Len() > 10 {
			t.Errorf("shard %d: %d entries, %d bytes counted, %d held", i, d.texts.Len(), d.bytes, sum)
		}
	}
}

// Most requests repeat a text, so an allocation for a cached text adds to the cost of nearly every
// request.
func TestHitDoesNotAllocate(t *testing.T) {
	var c Classifier
	const q = "/* tag=report key=abc */ SELECT * FROM drafts WHERE id = $1"
	c.Classify(q)
	if n := testing.AllocsPerRun(100, func() { c.Classify(q) }); n != 0 {
		t.Errorf("%v allocations for a cached text, want 0", n)
	}
}

func FuzzClassify(f *testing.F) {
	in, err := os.ReadFile("testdata/statements.sql")
	if err != nil {
		f.Fatal(err)
	}
	for _, l := range strings.Split(string(in), "\n") {
		f.Add(l)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		var c Classifier
		a, e := c.Classify(sql)
		b, _ := c.Classify(sql)
		if d := cmp.Diff(a, b); d != "" {
			t.Errorf("cached result differs: %s", d)
		}
		if e == nil && a.ReplicaSafe && (a.Writes || a.Pin != PinNone || a.Kind == KindUnparsed) {
			t.Errorf("text with ReplicaSafe isn't safe on a replica: %+v", a)
		}
	})
}

func BenchmarkHit(b *testing.B) {
	var c Classifier
	const q = "/* tag=report key=abc */ SELECT * FROM drafts WHERE id = $1"
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			c.Classify(q)
		}
	})
}

func BenchmarkMiss(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		parse("SELECT d.id, d.title FROM drafts d JOIN offices o ON o.id = d.office WHERE d.id = 17 ORDER BY d.title LIMIT 10")
	}
}
