// Package explainer tells the story of one request from the log files of several hosts.
package explainer

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/log/decoder"
)

const (
	// before and after are how far from the request's lines others belong to its
	// story: a primary is replaced within five seconds.
	before = 5 * time.Second
	after  = 5 * time.Second
)

// File is the log of one host.
type File struct {
	// Host names it in the story.
	Host  string
	Lines io.Reader
}

// entry is one line of a log.
type entry struct {
	Time          time.Time `json:"time"`
	Level         string    `json:"level"`
	Message       string    `json:"message"`
	Request       string    `json:"request"`
	DatabaseGroup string    `json:"database-group"`
	Outcome       string    `json:"outcome"`
	Server        string    `json:"server"`
	Took          string    `json:"took"`

	host string
	raw  map[string]any
}

// Step is one line of the story.
type Step struct {
	Time time.Time `json:"time"`
	Host string    `json:"host"`
	Text string    `json:"text"`
}

// Timeline is what the logs tell of one request.
type Timeline struct {
	Request string `json:"request"`
	Steps   []Step `json:"steps"`
	// Gaps say which lines would belong to the story and aren't there.
	Gaps []string `json:"holes"`
}

// ErrRequestNotFound is a request that no file has a line of.
const ErrRequestNotFound = errors.ConstError("no line of the request")

// Explain reads the files and tells the story of the request.
func Explain(request string, files []File) (*Timeline, error) {
	var all []entry
	for _, f := range files {
		l, err := read(f)
		if err != nil {
			return nil, errors.Annotatef(err, "read log of %s", f.Host)
		}
		all = append(all, l...)
	}
	slices.SortStableFunc(all, func(a, b entry) int { return a.Time.Compare(b.Time) })
	own := slices.DeleteFunc(slices.Clone(all), func(e entry) bool { return e.Request != request })
	if len(own) == 0 {
		return nil, errors.Annotatef(ErrRequestNotFound, "%s in %d files: it never reached these hosts, or it ran and its line was left out by sampling", request, len(files))
	}
	return tell(request, own, all), nil
}

// read returns the lines of a file that are ours.
func read(f File) ([]entry, error) {
	var l []entry
	err := decoder.Each(f.Lines, func(object []byte) {
		e := entry{host: f.Host}
		if json.Unmarshal(object, &e) != nil || json.Unmarshal(object, &e.raw) != nil || e.Message == "" {
			return
		}
		l = append(l, e)
	})
	return l, err
}

// tell gathers the request's lines and those about what it met.
func tell(request string, own, all []entry) *Timeline {
	s := &Timeline{Request: request}
	from, to := own[0].Time.Add(-before), own[len(own)-1].Time.Add(after)
	groups := make(map[string]bool)
	for _, e := range own {
		groups[e.DatabaseGroup] = true
	}
	for _, e := range all {
		if e.Time.Before(from) || e.Time.After(to) {
			continue
		}
		if e.Request == request || e.Request == "" && concerns(e, groups) {
			s.Steps = append(s.Steps, Step{Time: e.Time, Host: e.host, Text: text(e)})
		}
	}
	s.Gaps = holes(own, all, from, to)
	return s
}

// concerns reports whether a line that isn't a request's belongs to the story: what is
// about the group, or about the whole host.
func concerns(e entry, groups map[string]bool) bool {
	if e.DatabaseGroup != "" {
		return groups[e.DatabaseGroup]
	}
	return e.Message != "statement"
}

// text is the line in words: the message, and the fields in alphabetical order.
func text(e entry) string {
	var l []string
	for k, v := range e.raw {
		if k != "time" && k != "level" && k != "message" {
			l = append(l, fmt.Sprintf("%s=%v", k, v))
		}
	}
	slices.Sort(l)
	return strings.TrimSpace(e.Message + " " + strings.Join(l, " "))
}

// holes names the lines that are missing.
func holes(own, all []entry, from, to time.Time) []string {
	var l []string
	for _, e := range own {
		if e.Outcome == "" {
			l = append(l, "no outcome in the line of "+e.Time.Format(time.RFC3339Nano))
		}
	}
	last := own[len(own)-1]
	if last.Outcome == "unknown" && !replaced(all, from, to, last.DatabaseGroup) {
		l = append(l, "no line of a loss or change of a primary of "+last.DatabaseGroup+": server "+last.Server+
			" or the route to it may have failed alone, or the host that replaced it isn't among the files")
	}
	return l
}

// replaced reports whether a line about the group's lead is there.
func replaced(all []entry, from, to time.Time, group string) bool {
	return slices.ContainsFunc(all, func(e entry) bool {
		return e.DatabaseGroup == group && e.Request == "" && !e.Time.Before(from) && !e.Time.After(to)
	})
}

// Write prints the story, one line a step.
func (s *Timeline) Write(w io.Writer) error {
	b := &strings.Builder{}
	for _, x := range s.Steps {
		fmt.Fprintf(b, "%s  %-20s %s\n", x.Time.Format("15:04:05.000000"), x.Host, x.Text)
	}
	for _, h := range s.Gaps {
		fmt.Fprintf(b, "missing: %s\n", h)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
