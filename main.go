// Command cuminwick is a database proxy with session consistency.
package main

import (
	"context"
	"os"

	"github.com/cuminwick/cuminwick/internal/command/runner"
)

func main() {
	os.Exit(runner.Run(context.Background(), os.Args[1:]))
}
