// Package forwarder forwards cancel requests to the entry host that holds the session.
package forwarder

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/cuminwick/cuminwick/internal/caller/greeter"
	"github.com/cuminwick/cuminwick/internal/cancel/matcher"
	"github.com/cuminwick/cuminwick/internal/peer/dialer"
	"github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/peer/listener"
	"github.com/cuminwick/cuminwick/internal/pool/assigner"
)

// KindCancelRequest is the message that carries a Request.
const KindCancelRequest encoder.Kind = "cancel-request"

// timeout bounds the call to one host.
const timeout = 2 * time.Second

// Request asks an entry host to cancel the request of the session with this cancel key.
type Request struct {
	ProcessID uint32 `cbor:"1,keyasint"`
	Secret    uint32 `cbor:"2,keyasint"`
}

// Answer reports whether the host holds the session.
type Answer struct {
	Found bool `cbor:"1,keyasint"`
}

// Members lists the members of the cluster.
type Members interface {
	// Live returns the live entry hosts.
	Live() []assigner.Host
}

// Forwarder implements the caller listener's Canceller. The exported fields are
// set before use.
type Forwarder struct {
	// Self is this entry host's name.
	Self    string
	Members Members
	Dialer  *dialer.Dialer
	// Cancel cancels the request of a session of this host and reports
	// whether there is such a session.
	Cancel func(k greeter.CancelKey) bool
	Log    log.Interface
}

// ForwardCancel sends the key to the other host whose id it contains. If two hosts share an id, the
// key is sent to both, and only the host that has a session with the key's secret cancels.
func (f *Forwarder) ForwardCancel(ctx context.Context, k greeter.CancelKey) {
	i := matcher.Key{ProcessID: k.ProcessID, Secret: k.SecretKey}.Host()
	for _, h := range f.Members.Live() {
		if h.Name != f.Self && matcher.IDOf(h.Name) == i {
			f.send(ctx, h.Name, k)
		}
	}
}

// send sends the key to one host and logs a failure.
func (f *Forwarder) send(ctx context.Context, host string, k greeter.CancelKey) {
	x, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	q := Request{ProcessID: k.ProcessID, Secret: k.SecretKey}
	if _, err := dialer.Call[Request, Answer](x, f.Dialer, host, KindCancelRequest, q); err != nil {
		f.Log.WithError(err).WithField("step", "forward cancel").WithField("peer", host).Warn("cancel not delivered")
	}
}

// Route returns the listener's route for cancel requests that other entry hosts forward.
func (f *Forwarder) Route() listener.Route {
	return listener.Handle(KindCancelRequest, f.serve)
}

func (f *Forwarder) serve(_ context.Context, _ encoder.Sender, q Request) (Answer, error) {
	return Answer{Found: f.Cancel(greeter.CancelKey{ProcessID: q.ProcessID, SecretKey: q.Secret})}, nil
}
