// Command stage plays the scripts of the second independent review: it starts the project's program as separate
// processes before stand-ins of clients, instances and the platform, and checks one rule.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// play is what one case does. disturbed is false if the disruption is to be left out.
type play func(root string, r *record, disturbed bool) (verdict, error)

var plays = map[string]play{
	"restart-forgets": playRestartForgets,
	"stale-list":      playStaleList,
	"stale-token":     playStaleToken,
	"return-to-group": playReturnToGroup,
}

// errUsage is returned for an unknown case.
var errUsage = errors.New("usage: stage -case NAME -record FILE -root DIRECTORY")

// Exit codes: the rule held, the rule was broken, the case couldn't run.
const (
	exitHeld = iota
	exitBroken
	exitFailed
)

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case to play")
	path := flag.String("record", "record.txt", "where the record is written")
	root := flag.String("root", ".", "the root of the checkout")
	flag.Parse()
	p := plays[*name]
	if p == nil {
		fmt.Fprintln(os.Stderr, errUsage)
		return exitFailed
	}
	r, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.file.Close()
	v, err := p(*root, r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.line("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	}
	r.line("%s", v.text)
	fmt.Println(v.text)
	if v.broken {
		return exitBroken
	}
	return exitHeld
}
