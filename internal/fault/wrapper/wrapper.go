// Package wrapper annotates errors with the step that failed and the peer involved.
package wrapper

import (
	"github.com/juju/errors"
)

// Fault is an error with the step that failed and the peer involved.
type Fault struct {
	// Step is the operation that failed, for instance "dial".
	Step string
	// Peer is the other end or the object of the operation: an address, a host, a backend server or the
	// like.
	Peer string
	// Err is the cause.
	Err error
}

// Wrap returns a Fault of err with step and peer, or nil if err is nil.
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
