// Package analyzer finds in log files where statements were lost: when, in which database
// group, at which server, for what reason, and how long their callers were held.
package analyzer

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"regexp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
)

// maximumLine is the longest line that is read, in bytes.
const maximumLine = 1 << 20

// ErrNoStatement is a log without a line of a statement.
const ErrNoStatement = errors.ConstError("no line of a statement")

// Request says what to look at.
type Request struct {
	// Window is the length of the intervals of time, 2 s if zero.
	Window time.Duration
	// Group leaves out all other database groups, none if empty.
	Group string
}

// Count is how many statements were lost under a name.
type Count struct {
	Name string `json:"name"`
	Lost int    `json:"lost"`
}

// Series is how many statements a group lost in each window.
type Series struct {
	Group   string `json:"group"`
	Windows []int  `json:"windows"`
	Lost    int    `json:"lost"`
}

// Cause is one way in which statements were lost, and how long they were held.
type Cause struct {
	Outcome string `json:"outcome"`
	Code    string `json:"code"`
	// Why is the reason with the names of servers and numbers left out.
	Why       string        `json:"why"`
	Lost      int           `json:"lost"`
	Median    time.Duration `json:"median"`
	Ninetieth time.Duration `json:"ninetieth"`
}

// Summary is where statements were lost. Statements that ran are logged in part only and
// aren't counted.
type Summary struct {
	From       time.Time     `json:"from"`
	Window     time.Duration `json:"window"`
	Lost       int           `json:"lost"`
	Median     time.Duration `json:"median"`
	Ninetieth  time.Duration `json:"ninetieth"`
	Groups     []Series      `json:"groups"`
	Causes     []Cause       `json:"causes"`
	Servers    []Count       `json:"servers"`
	Operations []Count       `json:"operations"`
	// Tries is by how often a statement was sent, from none.
	Tries []int `json:"tries"`
}

// statement is the line of one.
type statement struct {
	Time      time.Time `json:"time"`
	Message   string    `json:"message"`
	Group     string    `json:"database-group"`
	Operation string    `json:"operation"`
	Outcome   string    `json:"outcome"`
	Code      string    `json:"code"`
	Server    string    `json:"server"`
	Why       string    `json:"why"`
	Attempts  int       `json:"attempts"`
	Took      string    `json:"took"`
}

const (
	messageStatement = "statement"
	outcomeRan       = "ran"
	defaultWindow    = 2 * time.Second
)

// Analyze reads the files of all hosts.
func Analyze(q Request, files []io.Reader) (*Summary, error) {
	var l []statement
	for _, f := range files {
		s, err := read(f, q.Group)
		if err != nil {
			return nil, errors.Annotate(err, "read log")
		}
		l = append(l, s...)
	}
	if len(l) == 0 {
		return nil, ErrNoStatement
	}
	slices.SortStableFunc(l, func(a, b statement) int { return a.Time.Compare(b.Time) })
	return summarize(cmp.Or(q.Window, defaultWindow), l), nil
}

// read returns the lines of statements; what a collector of logs writes before a line is
// left out.
func read(f io.Reader, group string) ([]statement, error) {
	s := bufio.NewScanner(f)
	s.Buffer(nil, maximumLine)
	var l []statement
	for s.Scan() {
		i := bytes.IndexByte(s.Bytes(), '{')
		if i < 0 {
			continue
		}
		var x statement
		if json.Unmarshal(s.Bytes()[i:], &x) != nil || x.Message != messageStatement {
			continue
		}
		if group == "" || x.Group == group {
			l = append(l, x)
		}
	}
	return l, s.Err()
}

// held is how long statements were held, in microseconds.
type held struct{ *hdrhistogram.Histogram }

func newHeld() held { return held{hdrhistogram.New(1, time.Hour.Microseconds(), 3)} }

func (h held) add(took string) {
	if d, err := time.ParseDuration(took); err == nil {
		_ = h.RecordValue(max(1, d.Microseconds()))
	}
}

func (h held) at(quantile float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(quantile)) * time.Microsecond
}

func summarize(window time.Duration, l []statement) *Summary {
	s := &Summary{From: l[0].Time, Window: window}
	windows := int(l[len(l)-1].Time.Sub(s.From)/window) + 1
	groups := make(map[string]*Series)
	servers, operations := make(map[string]int), make(map[string]int)
	causes := make(map[Cause]held)
	all := newHeld()
	for _, x := range l {
		if x.Outcome == outcomeRan {
			continue
		}
		s.Lost++
		all.add(x.Took)
		g := groups[x.Group]
		if g == nil {
			g = &Series{Group: x.Group, Windows: make([]int, windows)}
			groups[x.Group] = g
		}
		g.Lost++
		g.Windows[int(x.Time.Sub(s.From)/window)]++
		servers[cmp.Or(x.Server, "none")]++
		operations[x.Operation]++
		c := Cause{Outcome: x.Outcome, Code: x.Code, Why: general(x.Why)}
		if _, ok := causes[c]; !ok {
			causes[c] = newHeld()
		}
		causes[c].add(x.Took)
		for len(s.Tries) <= x.Attempts {
			s.Tries = append(s.Tries, 0)
		}
		s.Tries[x.Attempts]++
	}
	s.Median, s.Ninetieth = all.at(50), all.at(90)
	for _, g := range groups {
		s.Groups = append(s.Groups, *g)
	}
	slices.SortFunc(s.Groups, func(a, b Series) int { return cmp.Or(b.Lost-a.Lost, cmp.Compare(a.Group, b.Group)) })
	for c, h := range causes {
		c.Lost, c.Median, c.Ninetieth = int(h.TotalCount()), h.at(50), h.at(90)
		s.Causes = append(s.Causes, c)
	}
	slices.SortFunc(s.Causes, func(a, b Cause) int {
		return cmp.Or(b.Lost-a.Lost, cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Code, b.Code), cmp.Compare(a.Why, b.Why))
	})
	s.Servers, s.Operations = counts(servers), counts(operations)
	return s
}

func counts(m map[string]int) []Count {
	var l []Count
	for n, c := range m {
		l = append(l, Count{Name: n, Lost: c})
	}
	slices.SortFunc(l, func(a, b Count) int { return cmp.Or(b.Lost-a.Lost, cmp.Compare(a.Name, b.Name)) })
	return l
}

// particular is what differs between statements that were lost for the same reason:
// addresses, names with digits, and numbers.
var particular = regexp.MustCompile(`[0-9a-zA-Z.:-]*[0-9](?:[0-9a-zA-Z.:-]*[0-9a-zA-Z])?`)

// general leaves out of a reason what differs from statement to statement.
func general(why string) string { return particular.ReplaceAllString(why, "*") }
