// Package commander is the command line of an entry host on the platform.
package commander

import (
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
	"github.com/juju/errors"
)

// Exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// Forms of the output.
const (
	formatTable = "table"
	formatJSON  = "json"
)

// arguments are the subcommands.
type arguments struct {
	Serve    *serve    `arg:"subcommand:serve" help:"run an entry host, for example: cuminwick-platform serve"`
	Validate *validate `arg:"subcommand:validate" help:"check a settings file, for example: cuminwick-platform validate settings.conf"`
	Explain  *explain  `arg:"subcommand:explain" help:"tell a request's story from log files, for example: cuminwick-platform explain --request 5c0e host-1.log host-2.log"`
	Losses   *losses   `arg:"subcommand:losses" help:"show where statements were lost, for example: cuminwick-platform losses host-1.log host-2.log"`
}

// Description opens the help.
func (arguments) Description() string {
	return "An entry host of cuminwick on the platform, and what its operators need."
}

// command is one subcommand.
type command interface {
	run(out io.Writer) error
}

// Run carries out a command line and returns the exit code. Data goes to out, errors
// to faults.
func Run(line []string, out, faults io.Writer) int {
	var a arguments
	p, err := arg.NewParser(arg.Config{Program: "cuminwick-platform", Out: out}, &a)
	if err != nil {
		complain(faults, err)
		return exitFailed
	}
	err = p.Parse(line)
	switch {
	case errors.Is(err, arg.ErrHelp):
		p.WriteHelp(out)
		return exitDone
	case err != nil:
		complain(faults, err)
		p.WriteUsage(faults)
		return exitUsage
	}
	c, ok := p.Subcommand().(command)
	if !ok {
		p.WriteHelp(faults)
		return exitUsage
	}
	if err := c.run(out); err != nil {
		complain(faults, err)
		return exitFailed
	}
	return exitDone
}

// complain prints an error. There is nobody to tell if even that fails.
func complain(w io.Writer, err error) {
	_, _ = fmt.Fprintln(w, err)
}
