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

// System is the deployment under test: entry hosts, stand-ins and the network between them.
type System interface {
	// Start starts everything and returns when callers can connect.
	Start(ctx context.Context) error
	// Stop ends everything and waits for it.
	Stop() error
	// Hosts are the entry hosts that the balancer sends callers to at the time.
	Hosts() []loader.Host
	// Groups are the database groups; the n-th server of each stands in the n-th place.
	Groups() map[string]*grouper.Group
	// Network is what lies between the parts.
	Network() *disturber.Network
	// Kill ends an entry host without warning.
	Kill(host string) error
	// SetBalanced has the balancer send callers to an entry host or not.
	SetBalanced(host string, on bool)
	// Drain stops an entry host as planned and returns when it has ended.
	Drain(ctx context.Context, host string) error
	// Replace starts an entry host anew.
	Replace(ctx context.Context, host string) error
	// SetPlatformDown stops the object service, or starts it again.
	SetPlatformDown(down bool)
	// SetPlatformLatency delays each call of the object service by as much.
	SetPlatformLatency(l time.Duration)
	// Revisions are the configurations in force, one for each entry host that
	// callers are sent to; At is left out.
	Revisions() []checker.ObservedRevision
	// Operators are those who race to change the configuration, nil where it is fixed.
	Operators() *racer.Racer
	// Outcome says what became of the request with an idempotency key, as cuminwick
	// outcome --settle does.
	Outcome(ctx context.Context, group, key string) (checker.Outcome, error)
	// StoreCalls counts the calls that the object service got.
	StoreCalls() int64
	// ControlBytes counts what entry hosts sent and got for control, all together.
	ControlBytes() int64
}
