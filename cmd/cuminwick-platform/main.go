// Command cuminwick-platform runs an entry host on the platform, checks its settings and evaluates
// its logs.
package main

import (
	"os"

	"github.com/cuminwick/cuminwick/internal/proxy/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
}
