package main

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// record is what was sent, answered and run, and the acknowledged commits.
type record struct {
	began time.Time
	file  *os.File

	mu     sync.Mutex
	out    *bufio.Writer
	acks   map[string]map[string]time.Time
	totals map[string]int
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, out: bufio.NewWriter(f), acks: make(map[string]map[string]time.Time), totals: make(map[string]int)}, nil
}

// add writes one line with the time since the start.
func (r *record) add(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.3f ", time.Since(r.began).Seconds())
	_, _ = fmt.Fprintf(r.out, format+"\n", a...)
}

// now returns the time since the start.
func (r *record) now() string { return fmt.Sprintf("%.3f", time.Since(r.began).Seconds()) }

// say is add, and prints the line as well.
func (r *record) say(format string, a ...any) {
	r.add(format, a...)
	fmt.Printf("%7.2f s  "+format+"\n", append([]any{time.Since(r.began).Seconds()}, a...)...)
}

// acknowledge notes a commit whose success a client has received.
func (r *record) acknowledge(service, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.acks[service] == nil {
		r.acks[service] = make(map[string]time.Time)
	}
	r.acks[service][id] = time.Now()
}

// acknowledgedIn returns the acknowledged commits of a service that has lacks, in the order of their ids.
func (r *record) acknowledgedIn(service string, has map[string]bool) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var l []string
	for id := range r.acks[service] {
		if !has[id] {
			l = append(l, id)
		}
	}
	slices.Sort(l)
	return l
}

// forget removes commits that were found lost, so that they count once.
func (r *record) forget(service string, ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		delete(r.acks[service], id)
	}
}

func (r *record) acknowledged(service string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.acks[service])
}

// count counts an answer by its kind.
func (r *record) count(kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals[kind]++
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "answers: %v\n", r.totals)
	_ = r.out.Flush()
	r.file.Close()
}
