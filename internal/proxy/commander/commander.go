// Package commander implements the command line of an entry host on the platform.
package commander

import (
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
	"github.com/juju/errors"
)

// Exit codes.
const (
	exitSuccess = 0
	exitFailure = 1
	exitUsage   = 2
)

// Output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
)

// arguments holds the subcommands, of which the parsed one is not nil.
type arguments struct {
	Serve    *serve    `arg:"subcommand:serve" help:"run an entry host, for example: cuminwick-platform serve"`
	Validate *validate `arg:"subcommand:validate" help:"check a settings file or a configuration, for example: cuminwick-platform validate settings.conf"`
	Explain  *explain  `arg:"subcommand:explain" help:"tell a request's story from log files, for example: cuminwick-platform explain --request 5c0e host-1.log host-2.log"`
	Losses   *losses   `arg:"subcommand:losses" help:"show where statements were lost, for example: cuminwick-platform losses host-1.log host-2.log"`
}

// Description returns the first lines of the help text.
func (arguments) Description() string {
	return "An entry host of cuminwick on the platform, and what its operators need."
}

// command is a subcommand. It writes its data to out.
type command interface {
	run(out io.Writer) error
}

// Run executes the command with the given arguments and returns the exit code. Data is written to
// out, errors and the usage after an error to errOut.
func Run(args []string, out, errOut io.Writer) int {
	var a arguments
	p, err := arg.NewParser(arg.Config{Program: "cuminwick-platform", Out: out}, &a)
	if err != nil {
		printError(errOut, err)
		return exitFailure
	}
	err = p.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		p.WriteHelp(out)
		return exitSuccess
	case err != nil:
		printError(errOut, err)
		p.WriteUsage(errOut)
		return exitUsage
	}
	c, ok := p.Subcommand().(command)
	if !ok {
		p.WriteHelp(errOut)
		return exitUsage
	}
	if err := c.run(out); err != nil {
		printError(errOut, err)
		return exitFailure
	}
	return exitSuccess
}

// printError prints an error. A failure to print is ignored, as it can't be reported anywhere.
func printError(w io.Writer, err error) {
	_, _ = fmt.Fprintln(w, err)
}
