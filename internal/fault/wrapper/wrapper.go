// Package wrapper gives errors the step and the peer at which they arose.
package wrapper

import (
	"github.com/juju/errors"
)

// Fault is an error with the step that failed and the peer it was taken with.
type Fault struct {
	// Step is what was being done, for instance "dial".
	Step string
	// Peer names the other side: an address, a host or a backend server.
	Peer string
	Err  error
}

// Wrap returns err with its step and peer, or nil if err is nil.
func Wrap(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	return &Fault{Step: step, Peer: peer, Err: err}
}

// Error returns step, peer and cause in one line.
func (f *Fault) Error() string {
	return f.Step + " " + f.Peer + ": " + f.Err.Error()
}

// Unwrap returns the cause.
func (f *Fault) Unwrap() error {
	return f.Err
}

// Find returns the innermost Fault in err's chain, the one nearest to the cause.
func Find(err error) (*Fault, bool) {
	var f *Fault
	if !errors.As(err, &f) {
		return nil, false
	}
	if n, ok := Find(f.Err); ok {
		return n, true
	}
	return f, true
}
