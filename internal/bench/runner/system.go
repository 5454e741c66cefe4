package runner

import (
	"context"
	"time"

	"github.com/cuminwick/cuminwick/internal/bench/checker"
	"github.com/cuminwick/cuminwick/internal/bench/disturber"
	"github.com/cuminwick/cuminwick/internal/bench/loader"
	"github.com/cuminwick/cuminwick/internal/bench/racer"
	"github.com/cuminwick/cuminwick/internal/standin/grouper"
)

// System is the deployment under test: entry hosts, stand-in servers and the network between them.
type System interface {
	// Start starts everything and returns when callers can connect.
	Start(ctx context.Context) error
	// Stop stops everything and returns when it has ended.
	Stop() error
	// Hosts returns the entry hosts that the load balancer currently sends callers to.
	Hosts() []loader.Host
	// Groups returns the database groups by name. The n-th server of each is located in the n-th place.
	Groups() map[string]*grouper.Group
	// Network returns the simulated network between the parts.
	Network() *disturber.Network
	// Kill ends an entry host without a drain.
	Kill(host string) error
	// SetBalanced sets whether the load balancer sends callers to an entry host.
	SetBalanced(host string, on bool)
	// Drain stops an entry host gracefully and returns when it has ended.
	Drain(ctx context.Context, host string) error
	// Replace starts a new entry host in place of one that was killed or drained.
	Replace(ctx context.Context, host string) error
	// SetPlatformDown stops the platform's object service, or starts it again.
	SetPlatformDown(down bool)
	// SetPlatformLatency sets the delay of each call to the object service.
	SetPlatformLatency(l time.Duration)
	// Revisions returns the configurations in force at the entry hosts that are neither stopping nor
	// stopped. At isn't set.
	Revisions() []checker.ObservedRevision
	// Operators returns the operators that make competing configuration changes, nil if the configuration
	// is fixed.
	Operators() *racer.Racer
	// Outcome queries and settles the outcome of the request with an idempotency key, as the command
	// cuminwick outcome --settle does. It is empty if the outcome is unknown.
	Outcome(ctx context.Context, group, key string) (checker.Outcome, error)
	// StoreCalls returns the number of calls that the object service received.
	StoreCalls() int64
	// ControlBytes returns the number of bytes of control traffic that all entry hosts sent and received.
	ControlBytes() int64
}
