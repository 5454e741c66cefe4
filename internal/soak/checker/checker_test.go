package checker

import (
	"strings"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/soak/replicator"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time that many milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// acknowledged returns a write of item x that was acknowledged at the given millisecond.
func acknowledged(id, session string, value, ms int) Write {
	return Write{ID: id, Session: session, Item: "x", Value: value, Outcome: OutcomeRan, Answered: at(ms)}
}

// committed returns the state of a group in which exactly the given writes took effect.
func committed(ids ...string) replicator.Truth {
	t := replicator.Truth{Commits: make(map[string]int), Dropped: make(map[string]bool)}
	for i, id := range ids {
		t.Log = append(t.Log, replicator.Record{ID: id, Item: "x", Value: i + 1})
		t.Commits[id]++
	}
	return t
}

// unanswered returns the history of a statement that was sent and broke off at the given milliseconds after a
// request to stop its host.
func unanswered(sent, ended int) History {
	s := Stop{Host: "h", At: at(0), Grace: time.Second, Allowed: time.Second, Undisturbed: true}
	x := Disconnect{Host: "h", ID: "q", Sent: at(sent), StatementSent: at(sent), Ended: at(ended)}
	return History{Timeout: 100 * time.Millisecond, Stops: []Stop{s}, Disconnects: []Disconnect{x}}
}

// besideStop returns the history of a statement that broke off long after a planned stop.
func besideStop() History {
	h := unanswered(5290, 5310)
	h.PlannedOnly = true
	return h
}

// withoutTimeout returns the history with routes that have no timeout.
func withoutTimeout(h History) History {
	h.Timeout = 0
	return h
}

// ranAt returns the state of a group that ran one statement until the given millisecond.
func ranAt(id string, ms int) replicator.Truth {
	t := committed()
	t.Runs = map[string]replicator.Run{id: {Began: at(ms - 5), Ended: at(ms)}}
	return t
}

// Each history violates one guarantee, or comes close to it and violates none. Guards against a
// checker that accepts every history, with which any soak would pass.
func TestCheck(t *testing.T) {
	read := func(f Freshness, session string, value, ms int) []Read {
		return []Read{{ID: "r", Session: session, Item: "x", Value: value, Freshness: f, Sent: at(ms)}}
	}
	dropped := committed("a")
	dropped.Dropped["b"] = true
	twice := committed("a")
	twice.Commits["a"] = 2
	reported := committed()
	reported.Violations = []string{"transaction: b.1 runs in a transaction of a"}
	for name, x := range map[string]struct {
		history History
		truth   replicator.Truth
		want    string
	}{
		"nothing":                    {truth: committed()},
		"acknowledged and committed": {history: History{Writes: []Write{acknowledged("a", "s", 1, 0)}}, truth: committed("a")},
		"acknowledged and rolled back, synchronous replicas": {history: History{Writes: []Write{acknowledged("a", "s", 1, 0)}}, truth: replicator.Truth{Dropped: map[string]bool{"a": true}, Synchronous: true}, want: "lost: a"},
		"acknowledged and lost":                              {history: History{Writes: []Write{acknowledged("a", "s", 1, 0)}}, truth: committed(), want: "lost: a"},
		"rolled back by a promotion":                         {history: History{Writes: []Write{acknowledged("b", "s", 1, 0)}}, truth: dropped},
		"answered not run and committed":                     {history: History{Writes: []Write{{ID: "a", Outcome: OutcomeNotRun}}}, truth: committed("a"), want: "false not-run: a"},
		"answered not run and committed twice":               {history: History{Writes: []Write{{ID: "a", Outcome: OutcomeNotRun}}}, truth: twice, want: "false not-run: a"},
		"unknown and committed":                              {history: History{Writes: []Write{{ID: "a"}}}, truth: committed("a")},
		"twice":                                              {truth: twice, want: "doubled: a"},
		"sees every commit":                                  {history: History{Writes: []Write{acknowledged("a", "s", 1, 0)}, Reads: read(FreshnessLatest, "o", 1, 5)}, truth: committed("a")},
		"misses a commit":                                    {history: History{Writes: []Write{acknowledged("a", "s", 1, 0)}, Reads: read(FreshnessLatest, "o", 0, 5)}, truth: committed("a"), want: "stale: r"},
		"misses a commit acknowledged later":                 {history: History{Writes: []Write{acknowledged("a", "s", 1, 9)}, Reads: read(FreshnessLatest, "o", 0, 5)}, truth: committed("a")},
		"misses a dropped commit":                            {history: History{Writes: []Write{acknowledged("b", "s", 2, 0)}, Reads: read(FreshnessLatest, "o", 1, 5)}, truth: dropped},
		"may miss a commit within the staleness":             {history: History{Writes: []Write{acknowledged("a", "s", 1, 0)}, Reads: read(FreshnessBoundedStaleness, "o", 0, 999), Staleness: time.Second}, truth: committed("a")},
		"misses a commit beyond the staleness":               {history: History{Writes: []Write{acknowledged("a", "s", 1, 0)}, Reads: read(FreshnessBoundedStaleness, "o", 0, 1001), Staleness: time.Second}, truth: committed("a"), want: "stale: r"},
		"misses a commit of its own session":                 {history: History{Writes: []Write{acknowledged("a", "s", 1, 0)}, Reads: read(FreshnessReadYourWrites, "s", 0, 5), Staleness: time.Second}, truth: committed("a"), want: "stale: r"},
		"may miss another session's commit":                  {history: History{Writes: []Write{acknowledged("a", "s", 1, 0)}, Reads: read(FreshnessReadYourWrites, "o", 0, 5), Staleness: time.Second}, truth: committed("a")},
		"reported by a server":                               {truth: reported, want: "transaction: b.1"},
		"answer to another statement":                        {history: History{UnexpectedAnswers: []string{"strange: a got the answer to b"}}, truth: committed(), want: "strange: a"},
		"configuration is applied":                           {history: History{ConfigurationProbes: []ConfigurationProbe{{Host: "h", Version: 2, Sent: at(0), Answered: at(1)}, {Host: "h", Version: 2, Found: true, Sent: at(2), Answered: at(3)}}}, truth: committed()},
		"configuration is reverted":                          {history: History{ConfigurationProbes: []ConfigurationProbe{{Host: "h", Version: 2, Found: true, Sent: at(0), Answered: at(1)}, {Host: "h", Version: 2, Sent: at(2), Answered: at(3)}}}, truth: committed(), want: "reverted: h"},
		"new process lacks the configuration":                {history: History{ConfigurationProbes: []ConfigurationProbe{{Host: "h", Version: 2, Found: true, Sent: at(0), Answered: at(1)}, {Host: "h", Incarnation: 1, Version: 2, Sent: at(2), Answered: at(3)}}}, truth: committed()},
		"broken off by a planned stop":                       {history: History{Stops: []Stop{{Host: "h", At: at(0), Grace: time.Second, Undisturbed: true}}, Disconnects: []Disconnect{{Host: "h", ID: "q", Sent: at(-10), Ended: at(300)}}}, truth: committed(), want: "cut off: q"},
		"ran and unanswered at a planned stop":               {history: unanswered(290, 310), truth: ranAt("q", 300), want: "unanswered: q"},
		"not run and unanswered at a planned stop":           {history: unanswered(290, 310), truth: committed()},
		"ran and unanswered after the route's timeout":       {history: unanswered(200, 310), truth: ranAt("q", 300)},
		"ran and unanswered, routes without a timeout":       {history: withoutTimeout(besideStop()), truth: ranAt("q", 5300), want: "unanswered: q"},
		"ran and unanswered beside a stop":                   {history: besideStop(), truth: ranAt("q", 5300), want: "unanswered: q"},
		"ran in the last sixth, sent early":                  {history: unanswered(890, 910), truth: ranAt("q", 900)},
		"sent just before the process ended":                 {history: History{Stops: []Stop{{Host: "h", At: at(0), Grace: time.Second, Undisturbed: true}}, Disconnects: []Disconnect{{Host: "h", ID: "q", Sent: at(290), Ended: at(300)}}}, truth: committed()},
		"broken off during another fault":                    {history: History{Stops: []Stop{{Host: "h", At: at(0), Grace: time.Second}}, Disconnects: []Disconnect{{Host: "h", ID: "q", Sent: at(-10), Ended: at(300)}}}, truth: committed()},
	} {
		t.Run(name, func(t *testing.T) {
			got := Check(&x.history, x.truth)
			switch {
			case x.want == "" && len(got) > 0:
				t.Errorf("got %q, want no findings", got)
			case x.want != "" && (len(got) == 0 || !strings.HasPrefix(got[0], x.want)):
				t.Errorf("got %q, want %q", got, x.want)
			}
		})
	}
}
