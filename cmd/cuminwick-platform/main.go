// Command cuminwick-platform is an entry host on the platform.
package main

import (
	"os"

	"github.com/cuminwick/cuminwick/internal/proxy/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
}
