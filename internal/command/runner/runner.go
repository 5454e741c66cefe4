// Package runner parses the command line and runs the chosen subcommand.
package runner

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/alexflint/go-arg"
	"github.com/juju/errors"
)

// Exit codes.
const (
	// ExitDone means that the command succeeded.
	ExitDone = 0
	// ExitFailed means that the command failed; the reason is on standard error.
	ExitFailed = 1
	// ExitUsage means that the command line was invalid and nothing was done.
	ExitUsage = 2
)

// Errors of subcommands.
const (
	// ErrUsage is the cause of errors in the command line that the parser doesn't find.
	ErrUsage = errors.ConstError("usage")
)

// Runner runs one command line.
type Runner struct {
	// Output receives data.
	Output io.Writer
	// Errors receives errors, warnings and progress.
	Errors io.Writer
	// Terminal marks Errors as a terminal, on which a line of progress can be overwritten.
	Terminal bool
}

// command is a parsed subcommand.
type command interface {
	// run runs the subcommand and writes its data to r.Output. An error whose cause is ErrUsage
	// leads to ExitUsage, any other to ExitFailed.
	run(ctx context.Context, r *Runner) error
	// example returns a command line that the help shows as an example.
	example() string
}

// arguments is the whole command line.
type arguments struct {
	Serve    *serve    `arg:"subcommand:serve" help:"run an entry host"`
	Validate *validate `arg:"subcommand:validate" help:"check a configuration or settings file offline"`
	Apply    *apply    `arg:"subcommand:apply" help:"put a configuration file in force everywhere"`
	Status   *status   `arg:"subcommand:status" help:"show hosts, database groups and the revision in force"`
	Drain    *drain    `arg:"subcommand:drain" help:"stop an entry host without cutting off a request"`
	Outcome  *outcome  `arg:"subcommand:outcome" help:"tell whether a request ran"`
	Bench    *bench    `arg:"subcommand:bench" help:"measure a scenario against the stand-ins"`
	Demo     *demo     `arg:"subcommand:demo" help:"run a small deployment in one process, and check its promises as a caller"`
	StandIn  *standIn  `arg:"subcommand:stand-in" help:"run a stand-in of the platform or of a backend server"`
}

// Description returns the text at the head of the help.
func (arguments) Description() string {
	return "cuminwick is a database proxy with session consistency."
}

// Epilogue returns the text at the end of the help.
func (arguments) Epilogue() string {
	return "Exit codes: 0 done, 1 failed, 2 wrong usage."
}

// Version returns the text that --version prints.
func (arguments) Version() string {
	return version()
}

// Run runs the command line args, without the program's name, and returns the exit code.
func Run(ctx context.Context, args []string) int {
	r := &Runner{Output: os.Stdout, Errors: os.Stderr, Terminal: isTerminal(os.Stderr)}
	return r.Run(ctx, args)
}

func isTerminal(f *os.File) bool {
	i, err := f.Stat()
	return err == nil && i.Mode()&os.ModeCharDevice != 0
}

// Run runs the command line args and returns the exit code.
func (r *Runner) Run(ctx context.Context, args []string) int {
	var a arguments
	p, err := arg.NewParser(arg.Config{Program: "cuminwick", Out: r.Errors}, &a)
	if err != nil {
		return r.fail(err)
	}
	err = p.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		return r.help(p)
	case errors.Is(err, arg.ErrVersion):
		r.print(version())
		return ExitDone
	case err != nil:
		return r.usage(p, err)
	}
	c, ok := p.Subcommand().(command)
	if !ok {
		return r.usage(p, errors.New("a subcommand is missing"))
	}
	return r.exitCode(p, c.run(ctx, r))
}

// exitCode prints err, if it isn't nil, and returns the exit code for it.
func (r *Runner) exitCode(p *arg.Parser, err error) int {
	switch {
	case err == nil:
		return ExitDone
	case errors.Is(err, ErrUsage):
		return r.usage(p, err)
	}
	return r.fail(err)
}

func (r *Runner) fail(err error) int {
	_, _ = fmt.Fprintf(r.Errors, "cuminwick: %v\n", err)
	return ExitFailed
}

func (r *Runner) usage(p *arg.Parser, err error) int {
	_ = p.WriteUsageForSubcommand(r.Errors, p.SubcommandNames()...)
	_, _ = fmt.Fprintf(r.Errors, "cuminwick: %v\n", err)
	return ExitUsage
}

func (r *Runner) help(p *arg.Parser) int {
	_ = p.WriteHelpForSubcommand(r.Output, p.SubcommandNames()...)
	x := "cuminwick demo"
	if c, ok := p.Subcommand().(command); ok {
		x = c.example()
	}
	r.print("\nExample:\n  " + x)
	return ExitDone
}

func (r *Runner) print(s string) {
	_, _ = fmt.Fprintln(r.Output, s)
}
