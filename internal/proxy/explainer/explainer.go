// Package explainer builds the timeline of one request from the log files of several hosts.
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
	// windowBefore and windowAfter bound the time around the request's lines from which other lines
	// are included. A primary is replaced within five seconds.
	windowBefore = 5 * time.Second
	windowAfter  = 5 * time.Second
)

// File is the log file of one host.
type File struct {
	// Host is the name of the host in the timeline.
	Host  string
	Lines io.Reader
}

// entry is one line of a log. fields holds all fields of the line, the known ones included.
type entry struct {
	Time          time.Time `json:"time"`
	Level         string    `json:"level"`
	Message       string    `json:"message"`
	Request       string    `json:"request"`
	DatabaseGroup string    `json:"database-group"`
	Outcome       string    `json:"outcome"`
	Server        string    `json:"server"`
	Took          string    `json:"took"`

	host   string
	fields map[string]any
}

// Step is one line of the timeline.
type Step struct {
	Time time.Time `json:"time"`
	Host string    `json:"host"`
	Text string    `json:"text"`
}

// Timeline holds the log lines that concern one request, sorted by time.
type Timeline struct {
	Request string `json:"request"`
	Steps   []Step `json:"steps"`
	// Gaps describes the lines that are missing from the logs.
	Gaps []string `json:"holes"`
}

// ErrRequestNotFound is returned for a request of which no file contains a line.
const ErrRequestNotFound = errors.ConstError("no line of the request")

// Explain reads the files and returns the timeline of the request. It returns ErrRequestNotFound if
// no file contains a line of the request.
func Explain(request string, files []File) (*Timeline, error) {
	var all []entry
	for _, f := range files {
		l, err := readEntries(f)
		if err != nil {
			return nil, errors.Annotatef(err, "read log of %s", f.Host)
		}
		all = append(all, l...)
	}
	slices.SortStableFunc(all, func(a, b entry) int { return a.Time.Compare(b.Time) })
	requested := slices.DeleteFunc(slices.Clone(all), func(e entry) bool { return e.Request != request })
	if len(requested) == 0 {
		return nil, errors.Annotatef(ErrRequestNotFound, "%s in %d files: it never reached these hosts, or it ran and its line was left out by sampling", request, len(files))
	}
	return buildTimeline(request, requested, all), nil
}

// readEntries returns the lines of a file that are JSON objects with a message; others are skipped.
func readEntries(f File) ([]entry, error) {
	var l []entry
	err := decoder.Each(f.Lines, func(object []byte) {
		e := entry{host: f.Host}
		if json.Unmarshal(object, &e) != nil || json.Unmarshal(object, &e.fields) != nil || e.Message == "" {
			return
		}
		l = append(l, e)
	})
	return l, err
}

// buildTimeline collects the request's lines and related ones from all, which are sorted by time.
// requested holds the request's lines.
func buildTimeline(request string, requested, all []entry) *Timeline {
	s := &Timeline{Request: request}
	from, to := requested[0].Time.Add(-windowBefore), requested[len(requested)-1].Time.Add(windowAfter)
	groups := make(map[string]bool)
	for _, e := range requested {
		groups[e.DatabaseGroup] = true
	}
	for _, e := range all {
		if e.Time.Before(from) || e.Time.After(to) {
			continue
		}
		if e.Request == request || e.Request == "" && isRelated(e, groups) {
			s.Steps = append(s.Steps, Step{Time: e.Time, Host: e.host, Text: formatEntry(e)})
		}
	}
	s.Gaps = findGaps(requested, all, from, to)
	return s
}

// isRelated reports whether a line without a request belongs to the timeline: it concerns one of
// the groups, or the whole host.
func isRelated(e entry, groups map[string]bool) bool {
	if e.DatabaseGroup != "" {
		return groups[e.DatabaseGroup]
	}
	return e.Message != "statement"
}

// formatEntry returns the message of the line and its other fields in alphabetical order.
func formatEntry(e entry) string {
	var l []string
	for k, v := range e.fields {
		if k != "time" && k != "level" && k != "message" {
			l = append(l, fmt.Sprintf("%s=%v", k, v))
		}
	}
	slices.Sort(l)
	return strings.TrimSpace(e.Message + " " + strings.Join(l, " "))
}

// findGaps describes the lines that are missing from the logs.
func findGaps(requested, all []entry, from, to time.Time) []string {
	var l []string
	for _, e := range requested {
		if e.Outcome == "" {
			l = append(l, "no outcome in the line of "+e.Time.Format(time.RFC3339Nano))
		}
	}
	last := requested[len(requested)-1]
	if last.Outcome == "unknown" && !hasGroupEvent(all, from, to, last.DatabaseGroup) {
		l = append(l, "no line of a loss or change of a primary of "+last.DatabaseGroup+": server "+last.Server+
			" or the route to it may have failed alone, or the host that replaced it isn't among the files")
	}
	return l
}

// hasGroupEvent reports whether all contains a line about the group itself, such as a change of its
// primary, between from and to.
func hasGroupEvent(all []entry, from, to time.Time, group string) bool {
	return slices.ContainsFunc(all, func(e entry) bool {
		return e.DatabaseGroup == group && e.Request == "" && !e.Time.Before(from) && !e.Time.After(to)
	})
}

// Write prints the timeline, one line per step, and then the gaps.
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
