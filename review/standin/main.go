// Command standin plays one case of the review: it starts entry hosts as processes, with stand-ins for the
// platform, the instances and the clients, and tells whether the rule of the case held.
//
// Usage: standin CASE RECORD, in the root of the repository. TROUBLE=0 leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	held    = 0
	broken  = 1
	couldNt = 2
)

// errCase says that a case couldn't run.
type errCase string

func (e errCase) Error() string { return string(e) }

// cases holds the cases by name.
var cases = map[string]func(d *deployment, trouble bool) ([]string, error){
	"cut":  partialCut,
	"late": lateOrder,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return couldNt
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNt
	}
	defer r.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNt
	}
	defer func() { _ = os.RemoveAll(dir) }()
	d := &deployment{record: r, directory: dir}
	defer d.close()
	type outcome struct {
		violations []string
		err        error
	}
	done := make(chan outcome, 1)
	go func() {
		v, err := cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
		done <- outcome{v, err}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	select {
	case o := <-done:
		switch {
		case o.err != nil:
			r.say("the case couldn't run: %v", o.err)
			return couldNt
		case len(o.violations) > 0:
			for _, v := range o.violations {
				r.say("%s", v)
			}
			r.say("the rule was broken")
			return broken
		}
		r.say("the rule held")
		return held
	case <-stopped:
	case <-time.After(110 * time.Second):
		r.say("the case took too long")
	}
	return couldNt
}
