// Package runner soak-tests real entry host processes against stand-ins of the platform and the
// backend servers, with injected faults derived from a seed, and checks every guarantee. All its code
// is in test files, as no other process of cuminwick starts it.
package runner
