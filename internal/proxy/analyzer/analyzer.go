// Package analyzer finds in log files where statements were lost: when, in which database
// group, at which server, for what reason, and how long their callers were held.
package analyzer

import (
	"cmp"
	"encoding/json"
	"io"
	"regexp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/log/decoder"
)

// Errors of logs that can't be summed up.
const (
	// ErrNoStatement is a log without a line of a statement.
	ErrNoStatement = errors.ConstError("no line of a statement")
	// ErrTooManyWindows is a window that is too short for the time that the logs span.
	ErrTooManyWindows = errors.ConstError("window is too short for the time that the logs span")
)

// maximumWindows is how many rows a table may have: two days in windows of 2 s.
const maximumWindows = 100_000

// Options says what to look at.
type Options struct {
	// Window is the length of the intervals of time, 2 s if zero.
	Window time.Duration
	// Group leaves out all other database groups, none if empty.
	Group string
}

// LossCount is how many statements were lost under a name.
type LossCount struct {
	Name string `json:"name"`
	Lost int    `json:"lost"`
}

// GroupSeries is how many statements a group lost in each window.
type GroupSeries struct {
	Group   string `json:"group"`
	Windows []int  `json:"windows"`
	Lost    int    `json:"lost"`
}

// Cause is one way in which statements were lost, and how long they were held.
type Cause struct {
	Outcome string `json:"outcome"`
	Code    string `json:"code"`
	// Reason is the reason with the names of servers and numbers left out.
	Reason       string        `json:"why"`
	Lost         int           `json:"lost"`
	Median       time.Duration `json:"median"`
	Percentile90 time.Duration `json:"ninetieth"`
}

// Summary is where statements were lost. Statements that ran are logged in part only and
// aren't counted.
type Summary struct {
	From   time.Time     `json:"from"`
	Window time.Duration `json:"window"`
	Lost   int           `json:"lost"`
	// Unreadable counts the lines that may have been those of lost statements.
	Unreadable   int           `json:"unreadable"`
	Median       time.Duration `json:"median"`
	Percentile90 time.Duration `json:"ninetieth"`
	Groups       []GroupSeries `json:"groups"`
	Causes       []Cause       `json:"causes"`
	Servers      []LossCount   `json:"servers"`
	Operations   []LossCount   `json:"operations"`
	// AttemptCounts is by how often a statement was sent, from none.
	AttemptCounts []int `json:"tries"`
}

// kind is what tells a statement's line from others.
type kind struct {
	Message string `json:"message"`
}

// statement is the line of one.
type statement struct {
	Time      time.Time `json:"time"`
	Group     string    `json:"database-group"`
	Operation string    `json:"operation"`
	Outcome   string    `json:"outcome"`
	Code      string    `json:"code"`
	Server    string    `json:"server"`
	Why       string    `json:"why"`
	Attempts  int       `json:"attempts"`
	Took      period    `json:"took"`
}

// period is a duration as logs have it, such as 1.5ms.
type period time.Duration

// UnmarshalText reads a period.
func (p *period) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*p = period(d)
	return err
}

const (
	messageStatement = "statement"
	outcomeRan       = "ran"
	defaultWindow    = 2 * time.Second
)

// Analyze reads the files of all hosts.
func Analyze(q Options, files []io.Reader) (*Summary, error) {
	t := &tally{group: q.Group}
	for _, f := range files {
		if err := decoder.Each(f, t.take); err != nil {
			return nil, errors.Annotate(err, "read log")
		}
	}
	if len(t.statements) == 0 {
		return nil, ErrNoStatement
	}
	slices.SortStableFunc(t.statements, func(a, b statement) int { return a.Time.Compare(b.Time) })
	s, err := summarize(cmp.Or(q.Window, defaultWindow), t.statements)
	if err != nil {
		return nil, err
	}
	s.Unreadable = t.unreadable
	return s, nil
}

// tally gathers the statements of logs, those of one group if it is named.
type tally struct {
	group      string
	statements []statement
	unreadable int
}

func (t *tally) take(object []byte) {
	var k kind
	if json.Unmarshal(object, &k) != nil {
		t.unreadable++
		return
	}
	if k.Message != messageStatement {
		return
	}
	var s statement
	switch err := json.Unmarshal(object, &s); {
	case err != nil, s.Time.IsZero(), s.Attempts < 0:
		t.unreadable++
	case t.group == "" || s.Group == t.group:
		t.statements = append(t.statements, s)
	}
}

// longestHeld is the longest time that is told from longer ones. Statements have deadlines of
// seconds.
const longestHeld = time.Hour

// held is how long statements were held, in microseconds.
type held struct{ *hdrhistogram.Histogram }

func newHeld() held { return held{hdrhistogram.New(1, longestHeld.Microseconds(), 3)} }

func (h held) add(took period) error {
	d := min(time.Duration(took), longestHeld)
	return h.RecordValue(max(1, d.Microseconds()))
}

func (h held) at(quantile float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(quantile)) * time.Microsecond
}

// sums gathers what the statements that were lost have in common.
type sums struct {
	summary    *Summary
	windows    int
	all        held
	groups     map[string]*GroupSeries
	causes     map[Cause]held
	servers    map[string]int
	operations map[string]int
}

// summarize sums up statements, which are in the order of their time.
func summarize(window time.Duration, l []statement) (*Summary, error) {
	from := l[0].Time
	n := l[len(l)-1].Time.Sub(from)/window + 1
	if n > maximumWindows {
		return nil, errors.Annotatef(ErrTooManyWindows, "%d of %s from %s", n, window, from.Format(time.RFC3339))
	}
	s := &sums{
		summary: &Summary{From: from, Window: window}, windows: int(n), all: newHeld(),
		groups: make(map[string]*GroupSeries), causes: make(map[Cause]held),
		servers: make(map[string]int), operations: make(map[string]int),
	}
	for _, x := range l {
		if x.Outcome == outcomeRan {
			continue
		}
		if err := s.add(x); err != nil {
			return nil, errors.Annotatef(err, "statement at %s", x.Time)
		}
	}
	return s.finish(), nil
}

// add counts a statement that was lost.
func (s *sums) add(x statement) error {
	s.summary.Lost++
	s.addTries(x.Attempts)
	g := s.group(x.Group)
	g.Lost++
	g.Windows[int(x.Time.Sub(s.summary.From)/s.summary.Window)]++
	s.servers[cmp.Or(x.Server, "none")]++
	s.operations[x.Operation]++
	if err := s.all.add(x.Took); err != nil {
		return err
	}
	return s.cause(x).add(x.Took)
}

func (s *sums) addTries(n int) {
	for len(s.summary.AttemptCounts) <= n {
		s.summary.AttemptCounts = append(s.summary.AttemptCounts, 0)
	}
	s.summary.AttemptCounts[n]++
}

func (s *sums) group(name string) *GroupSeries {
	g := s.groups[name]
	if g == nil {
		g = &GroupSeries{Group: name, Windows: make([]int, s.windows)}
		s.groups[name] = g
	}
	return g
}

func (s *sums) cause(x statement) held {
	c := Cause{Outcome: x.Outcome, Code: x.Code, Reason: general(x.Why)}
	h, ok := s.causes[c]
	if !ok {
		h = newHeld()
		s.causes[c] = h
	}
	return h
}

// finish puts what lost most first.
func (s *sums) finish() *Summary {
	r := s.summary
	r.Median, r.Percentile90 = s.all.at(50), s.all.at(90)
	for _, g := range s.groups {
		r.Groups = append(r.Groups, *g)
	}
	slices.SortFunc(r.Groups, func(a, b GroupSeries) int { return cmp.Or(b.Lost-a.Lost, cmp.Compare(a.Group, b.Group)) })
	for c, h := range s.causes {
		c.Lost, c.Median, c.Percentile90 = int(h.TotalCount()), h.at(50), h.at(90)
		r.Causes = append(r.Causes, c)
	}
	slices.SortFunc(r.Causes, func(a, b Cause) int {
		return cmp.Or(b.Lost-a.Lost, cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Code, b.Code), cmp.Compare(a.Reason, b.Reason))
	})
	r.Servers, r.Operations = counts(s.servers), counts(s.operations)
	return r
}

func counts(m map[string]int) []LossCount {
	var l []LossCount
	for n, c := range m {
		l = append(l, LossCount{Name: n, Lost: c})
	}
	slices.SortFunc(l, func(a, b LossCount) int { return cmp.Or(b.Lost-a.Lost, cmp.Compare(a.Name, b.Name)) })
	return l
}

// particular is what differs between statements that were lost for the same reason:
// addresses, names with digits, and numbers.
var particular = regexp.MustCompile(`[0-9a-zA-Z.:-]*[0-9](?:[0-9a-zA-Z.:-]*[0-9a-zA-Z])?`)

// general leaves out of a reason what differs from statement to statement.
func general(why string) string { return particular.ReplaceAllString(why, "*") }
