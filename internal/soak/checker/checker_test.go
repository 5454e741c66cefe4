package checker

import (
	"strings"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/soak/replicator"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func ran(id, session string, value, ms int) Write {
	return Write{ID: id, Session: session, Item: "x", Value: value, Outcome: OutcomeRan, Answered: at(ms)}
}

func kept(ids ...string) replicator.Truth {
	t := replicator.Truth{Commits: make(map[string]int), Dropped: make(map[string]bool)}
	for i, id := range ids {
		t.Log = append(t.Log, replicator.Record{ID: id, Item: "x", Value: i + 1})
		t.Commits[id]++
	}
	return t
}

// Each history breaks one promise, or comes close to it and breaks none. A checker that
// objected to none of them would pass any soak.
func TestCheck(t *testing.T) {
	read := func(f Freshness, session string, value, ms int) []Read {
		return []Read{{ID: "r", Session: session, Item: "x", Value: value, Freshness: f, Sent: at(ms)}}
	}
	dropped := kept("a")
	dropped.Dropped["b"] = true
	twice := kept("a")
	twice.Commits["a"] = 2
	noted := kept()
	noted.Violations = []string{"mixed: b.1 runs in a transaction of a"}
	for name, x := range map[string]struct {
		history History
		truth   replicator.Truth
		want    string
	}{
		"nothing":                        {truth: kept()},
		"acknowledged and kept":          {history: History{Writes: []Write{ran("a", "s", 1, 0)}}, truth: kept("a")},
		"acknowledged and lost":          {history: History{Writes: []Write{ran("a", "s", 1, 0)}}, truth: kept(), want: "lost: a"},
		"rolled back by a promotion":     {history: History{Writes: []Write{ran("b", "s", 1, 0)}}, truth: dropped},
		"told not run, and kept":         {history: History{Writes: []Write{{ID: "a", Outcome: OutcomeNotRun}}}, truth: kept("a"), want: "false not-run: a"},
		"told not run, and dropped":      {history: History{Writes: []Write{{ID: "a", Outcome: OutcomeNotRun}}}, truth: twice, want: "false not-run: a"},
		"unknown, and kept":              {history: History{Writes: []Write{{ID: "a"}}}, truth: kept("a")},
		"twice":                          {truth: twice, want: "doubled: a"},
		"sees every commit":              {history: History{Writes: []Write{ran("a", "s", 1, 0)}, Reads: read(FreshnessLatest, "o", 1, 5)}, truth: kept("a")},
		"misses a commit":                {history: History{Writes: []Write{ran("a", "s", 1, 0)}, Reads: read(FreshnessLatest, "o", 0, 5)}, truth: kept("a"), want: "stale: r"},
		"misses a commit under way":      {history: History{Writes: []Write{ran("a", "s", 1, 9)}, Reads: read(FreshnessLatest, "o", 0, 5)}, truth: kept("a")},
		"misses a dropped commit":        {history: History{Writes: []Write{ran("b", "s", 2, 0)}, Reads: read(FreshnessLatest, "o", 1, 5)}, truth: dropped},
		"may miss a young commit":        {history: History{Writes: []Write{ran("a", "s", 1, 0)}, Reads: read(FreshnessBoundedStaleness, "o", 0, 999), Staleness: time.Second}, truth: kept("a")},
		"misses an old commit":           {history: History{Writes: []Write{ran("a", "s", 1, 0)}, Reads: read(FreshnessBoundedStaleness, "o", 0, 1001), Staleness: time.Second}, truth: kept("a"), want: "stale: r"},
		"misses its own commit":          {history: History{Writes: []Write{ran("a", "s", 1, 0)}, Reads: read(FreshnessReadYourWrites, "s", 0, 5), Staleness: time.Second}, truth: kept("a"), want: "stale: r"},
		"may miss another's commit":      {history: History{Writes: []Write{ran("a", "s", 1, 0)}, Reads: read(FreshnessReadYourWrites, "o", 0, 5), Staleness: time.Second}, truth: kept("a")},
		"noted at a server":              {truth: noted, want: "mixed: b.1"},
		"answer to another":              {history: History{UnexpectedAnswers: []string{"strange: a got the answer to b"}}, truth: kept(), want: "strange: a"},
		"configuration comes":            {history: History{ConfigurationProbes: []ConfigurationProbe{{Host: "h", Version: 2, Sent: at(0), Answered: at(1)}, {Host: "h", Version: 2, Found: true, Sent: at(2), Answered: at(3)}}}, truth: kept()},
		"configuration goes":             {history: History{ConfigurationProbes: []ConfigurationProbe{{Host: "h", Version: 2, Found: true, Sent: at(0), Answered: at(1)}, {Host: "h", Version: 2, Sent: at(2), Answered: at(3)}}}, truth: kept(), want: "reverted: h"},
		"another process starts":         {history: History{ConfigurationProbes: []ConfigurationProbe{{Host: "h", Version: 2, Found: true, Sent: at(0), Answered: at(1)}, {Host: "h", Incarnation: 1, Version: 2, Sent: at(2), Answered: at(3)}}}, truth: kept()},
		"cut off by a planned stop":      {history: History{Stops: []Stop{{Host: "h", At: at(0), Grace: time.Second, Undisturbed: true}}, Disconnects: []Disconnect{{Host: "h", ID: "q", Sent: at(-10), Ended: at(300)}}}, truth: kept(), want: "cut off: q"},
		"sent to a host that was ending": {history: History{Stops: []Stop{{Host: "h", At: at(0), Grace: time.Second, Undisturbed: true}}, Disconnects: []Disconnect{{Host: "h", ID: "q", Sent: at(290), Ended: at(300)}}}, truth: kept()},
		"cut off beside another fault":   {history: History{Stops: []Stop{{Host: "h", At: at(0), Grace: time.Second}}, Disconnects: []Disconnect{{Host: "h", ID: "q", Sent: at(-10), Ended: at(300)}}}, truth: kept()},
	} {
		t.Run(name, func(t *testing.T) {
			got := Check(&x.history, x.truth)
			switch {
			case x.want == "" && len(got) > 0:
				t.Errorf("objects: %q", got)
			case x.want != "" && (len(got) == 0 || !strings.HasPrefix(got[0], x.want)):
				t.Errorf("got %q, want %q", got, x.want)
			}
		})
	}
}
