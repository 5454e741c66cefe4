// Package analyzer summarizes the lost statements of log files: when, in which database group, at
// which server and for what reason they were lost, and how long their callers were held.
//
// A statement is lost if its outcome is any other than "ran". How long it was held is the field
// took of its log line.
package analyzer

import (
	"cmp"
	"encoding/json"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/log/decoder"
)

// Errors of Analyze.
const (
	// ErrNoStatement is returned for logs without a line of a statement.
	ErrNoStatement = errors.ConstError("no line of a statement")
	// ErrTooManyWindows is returned if the logs span more than maximumWindows windows.
	ErrTooManyWindows = errors.ConstError("window is too short for the time that the logs span")
)

// maximumWindows is the maximum number of windows, and of rows of a table: two days in windows of 2
// s.
const maximumWindows = 100_000

// Options selects what is summarized.
type Options struct {
	// Window is the length of the intervals of time, 2 s if zero.
	Window time.Duration
	// Group is the only database group that is included, all if empty.
	Group string
}

// LossCount holds the number of statements lost at one server or by one operation.
type LossCount struct {
	Name string `json:"name"`
	Lost int    `json:"lost"`
}

// GroupSeries holds the number of statements that a database group lost in each window and in
// total.
type GroupSeries struct {
	Group   string `json:"group"`
	Windows []int  `json:"windows"`
	Lost    int    `json:"lost"`
}

// Cause holds the number of statements that were lost with the same outcome, code and reason, and
// how long they were held.
type Cause struct {
	Outcome string `json:"outcome"`
	Code    string `json:"code"`
	// Reason is the reason with addresses, names with digits, and numbers replaced by asterisks.
	Reason       string        `json:"why"`
	Lost         int           `json:"lost"`
	Median       time.Duration `json:"median"`
	Percentile90 time.Duration `json:"ninetieth"`
}

// Summary holds statistics of lost statements. Statements that ran aren't counted, because only a
// sample of them is logged.
type Summary struct {
	From   time.Time     `json:"from"`
	Window time.Duration `json:"window"`
	Lost   int           `json:"lost"`
	// Unreadable counts the lines that can't be decoded and may be those of lost statements.
	Unreadable   int           `json:"unreadable"`
	Median       time.Duration `json:"median"`
	Percentile90 time.Duration `json:"ninetieth"`
	Groups       []GroupSeries `json:"groups"`
	Causes       []Cause       `json:"causes"`
	Servers      []LossCount   `json:"servers"`
	Operations   []LossCount   `json:"operations"`
	// Priorities and Customers are set if one of the lost statements was ranked. A statement without
	// its own counts as "none".
	Priorities []LossCount `json:"priorities,omitempty"`
	Customers  []LossCount `json:"customers,omitempty"`
	// Held holds, by what operators held back, the statements that were refused for it. It is empty if
	// nothing was held.
	Held []LossCount `json:"held,omitempty"`
	// AttemptCounts holds, by the number of times that a statement was sent from zero on, how many
	// statements were lost.
	AttemptCounts []int `json:"tries"`
}

// messageOnly holds the field that identifies the line of a statement.
type messageOnly struct {
	Message string `json:"message"`
}

// statement is the log line of a statement.
type statement struct {
	Time      time.Time `json:"time"`
	Group     string    `json:"database-group"`
	Operation string    `json:"operation"`
	Outcome   string    `json:"outcome"`
	Code      string    `json:"code"`
	Server    string    `json:"server"`
	Reason    string    `json:"why"`
	HeldBack  string    `json:"held"`
	Attempts  int       `json:"attempts"`
	Customer  string    `json:"customer"`
	// Importance is nil if the configuration doesn't rank statements.
	Importance *admitter.Importance `json:"importance"`
	Held       logDuration          `json:"took"`
}

// logDuration is a duration in the format of logs, such as 1.5ms.
type logDuration time.Duration

// UnmarshalText parses a duration.
func (p *logDuration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*p = logDuration(d)
	return err
}

const (
	messageStatement = "statement"
	outcomeRan       = "ran"
	defaultWindow    = 2 * time.Second
)

// Analyze reads the log files of all hosts and summarizes the lost statements. It returns
// ErrNoStatement, ErrTooManyWindows or an error of reading a file.
func Analyze(o Options, files []io.Reader) (*Summary, error) {
	t := &collector{group: o.Group}
	for _, f := range files {
		if err := decoder.Each(f, t.add); err != nil {
			return nil, errors.Annotate(err, "read log")
		}
	}
	if len(t.statements) == 0 {
		return nil, ErrNoStatement
	}
	slices.SortStableFunc(t.statements, func(a, b statement) int { return a.Time.Compare(b.Time) })
	s, err := summarize(cmp.Or(o.Window, defaultWindow), t.statements)
	if err != nil {
		return nil, err
	}
	s.Unreadable = t.unreadable
	return s, nil
}

// collector collects the statements of logs, only those of one database group if group isn't empty.
type collector struct {
	group      string
	statements []statement
	unreadable int
}

// add takes the JSON object of one log line.
func (t *collector) add(object []byte) {
	var k messageOnly
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

// maximumHeld is the longest time that a histogram records; longer ones count as this. Statements
// have deadlines of seconds.
const maximumHeld = time.Hour

// histogram records how long statements were held, in microseconds.
type histogram struct{ *hdrhistogram.Histogram }

func newHistogram() histogram { return histogram{hdrhistogram.New(1, maximumHeld.Microseconds(), 3)} }

func (h histogram) add(held logDuration) error {
	d := min(time.Duration(held), maximumHeld)
	return h.RecordValue(max(1, d.Microseconds()))
}

// percentile returns the percentile p, from 0 to 100.
func (h histogram) percentile(p float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(p)) * time.Microsecond
}

// aggregator counts lost statements by window, group, cause, server and operation.
type aggregator struct {
	summary     *Summary
	windowCount int
	all         histogram
	groups      map[string]*GroupSeries
	causes      map[Cause]histogram
	servers     map[string]int
	operations  map[string]int
	ranking     ranking
	held        map[string]int
}

// summarize returns the summary of statements that are sorted by time. It returns ErrTooManyWindows
// if they span too many windows.
func summarize(window time.Duration, l []statement) (*Summary, error) {
	from := l[0].Time
	n := l[len(l)-1].Time.Sub(from)/window + 1
	if n > maximumWindows {
		return nil, errors.Annotatef(ErrTooManyWindows, "%d of %s from %s", n, window, from.Format(time.RFC3339))
	}
	s := &aggregator{
		summary: &Summary{From: from, Window: window}, windowCount: int(n), all: newHistogram(),
		groups: make(map[string]*GroupSeries), causes: make(map[Cause]histogram),
		servers: make(map[string]int), operations: make(map[string]int), held: make(map[string]int), ranking: newRanking(),
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
func (s *aggregator) add(x statement) error {
	s.summary.Lost++
	s.addAttempts(x.Attempts)
	g := s.groupSeries(x.Group)
	g.Lost++
	g.Windows[int(x.Time.Sub(s.summary.From)/s.summary.Window)]++
	s.servers[cmp.Or(x.Server, "none")]++
	s.operations[x.Operation]++
	s.ranking.add(x)
	if x.HeldBack != "" {
		s.held[x.HeldBack]++
	}
	if err := s.all.add(x.Held); err != nil {
		return err
	}
	return s.causeHistogram(x).add(x.Held)
}

func (s *aggregator) addAttempts(n int) {
	for len(s.summary.AttemptCounts) <= n {
		s.summary.AttemptCounts = append(s.summary.AttemptCounts, 0)
	}
	s.summary.AttemptCounts[n]++
}

func (s *aggregator) groupSeries(name string) *GroupSeries {
	g := s.groups[name]
	if g == nil {
		g = &GroupSeries{Group: name, Windows: make([]int, s.windowCount)}
		s.groups[name] = g
	}
	return g
}

func (s *aggregator) causeHistogram(x statement) histogram {
	c := Cause{Outcome: x.Outcome, Code: x.Code, Reason: generalize(x.Reason)}
	if kind, _, ok := strings.Cut(x.HeldBack, " "); ok {
		c.Reason = kind + " * is held by the operator" // names without digits are one cause, too
	}
	h, ok := s.causes[c]
	if !ok {
		h = newHistogram()
		s.causes[c] = h
	}
	return h
}

// finish returns the summary with all lists sorted by the number of lost statements in descending
// order.
func (s *aggregator) finish() *Summary {
	r := s.summary
	r.Median, r.Percentile90 = s.all.percentile(50), s.all.percentile(90)
	for _, g := range s.groups {
		r.Groups = append(r.Groups, *g)
	}
	slices.SortFunc(r.Groups, func(a, b GroupSeries) int { return cmp.Or(b.Lost-a.Lost, cmp.Compare(a.Group, b.Group)) })
	for c, h := range s.causes {
		c.Lost, c.Median, c.Percentile90 = int(h.TotalCount()), h.percentile(50), h.percentile(90)
		r.Causes = append(r.Causes, c)
	}
	slices.SortFunc(r.Causes, func(a, b Cause) int {
		return cmp.Or(b.Lost-a.Lost, cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Code, b.Code), cmp.Compare(a.Reason, b.Reason))
	})
	r.Servers, r.Operations, r.Held = lossCounts(s.servers), lossCounts(s.operations), lossCounts(s.held)
	r.Priorities, r.Customers = s.ranking.finish()
	return r
}

func lossCounts(m map[string]int) []LossCount {
	var l []LossCount
	for n, c := range m {
		l = append(l, LossCount{Name: n, Lost: c})
	}
	slices.SortFunc(l, func(a, b LossCount) int { return cmp.Or(b.Lost-a.Lost, cmp.Compare(a.Name, b.Name)) })
	return l
}

// variablePart matches what differs between the reasons of statements that were lost for the same
// cause: addresses, names with digits, and numbers.
var variablePart = regexp.MustCompile(`[0-9a-zA-Z.:-]*[0-9](?:[0-9a-zA-Z.:-]*[0-9a-zA-Z])?`)

// generalize replaces the variable parts of a reason by asterisks.
func generalize(reason string) string { return variablePart.ReplaceAllString(reason, "*") }
