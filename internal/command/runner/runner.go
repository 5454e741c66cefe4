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
	// ExitDone says that what was asked for is done.
	ExitDone = 0
	// ExitFailed says that it isn't, for the reason on standard error.
	ExitFailed = 1
	// ExitUsage says that the command line was wrong and nothing was tried.
	ExitUsage = 2
)

// Errors of subcommands.
const (
	// ErrUsage is the cause of errors in what the command line asks for.
	ErrUsage = errors.ConstError("usage")
)

// Runner runs one command line.
type Runner struct {
	// Output takes data, Errors takes errors and progress.
	Output io.Writer
	Errors io.Writer
	// Terminal says that Errors is a terminal, where progress may be shown.
	Terminal bool
}

// command is a parsed subcommand.
type command interface {
	// run does the work; its data goes to r.Output.
	run(ctx context.Context, r *Runner) error
	// example returns one command line to copy.
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

// Description opens the help.
func (arguments) Description() string {
	return "cuminwick is a database proxy with session consistency."
}

// Epilogue closes the help.
func (arguments) Epilogue() string {
	return "Exit codes: 0 done, 1 failed, 2 wrong usage."
}

// Version is printed for --version.
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
	return r.finish(p, c.run(ctx, r))
}

func (r *Runner) finish(p *arg.Parser, err error) int {
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
