// Package runner soaks real processes of entry hosts before stand-ins of the platform, under
// faults from outside that a seed decides, and checks every promise. All of it is in test
// files: no other process of cuminwick starts one.
package runner
