// Package integrator holds the integration tests that run cuminwick's subcommands as processes of their own, behind the disturber.
package integrator
