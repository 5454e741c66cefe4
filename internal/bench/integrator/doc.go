// Package integrator holds the integration tests that run cuminwick's subcommands as separate processes, connected through the disturber.
package integrator
