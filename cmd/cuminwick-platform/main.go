// Command cuminwick-platform is an entry host on the platform.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/cuminwick/cuminwick/internal/proxy/assembler"
	"github.com/cuminwick/cuminwick/platform"
)

// exitFailed is the exit code of a process that couldn't serve.
const exitFailed = 1

type arguments struct{}

func (arguments) Description() string {
	return "Serves as an entry host. Its settings are in the file that " + platform.SettingsVariable + " names.\n\n" +
		"SIGTERM drains; example: " + platform.SettingsVariable + "=settings.conf cuminwick-platform"
}

func main() {
	var a arguments
	arg.MustParse(&a)
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

func run() error {
	s, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	c, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	h := &assembler.Assembler{Settings: s, LogOutput: os.Stdout}
	return h.Run(context.Background(), c.Done())
}
