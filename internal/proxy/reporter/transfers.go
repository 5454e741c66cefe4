package reporter

import (
	"github.com/apex/log"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// largeAnswer is the length in bytes from which an answer about the platform's objects is logged.
// Smaller ones arrive several times a second.
const largeAnswer = 16 << 10

// Transfers counts answers about the platform's objects, and logs those that are large or were
// transferred only in part. Its fields are set before use.
type Transfers struct {
	Log     log.Interface
	Metrics *Metrics
}

// Received records an answer from the store or another host.
func (r *Transfers) Received(t declarer.Transfer) {
	r.Metrics.Received(t)
	r.logTransfer(t, "answer received")
}

// Sent records an answer to another host. An answer that could not be sent has ended the
// connection.
func (r *Transfers) Sent(t declarer.Transfer) {
	r.Metrics.Sent(t)
	if t.Err != nil {
		r.Log.WithError(t.Err).WithFields(log.Fields{"kind": t.Kind, "peer": t.Peer}).Warn("answer not sent")
		return
	}
	r.logTransfer(t, "answer sent")
}

func (r *Transfers) logTransfer(t declarer.Transfer, message string) {
	cut := t.Err != nil && t.Bytes > 0
	if t.Bytes < largeAnswer && !cut {
		return
	}
	l := r.Log.WithFields(log.Fields{
		"source": t.Source.String(), "kind": t.Kind, "peer": t.Peer, "bytes": t.Bytes,
		"waited": t.Waited.String(), "took": t.Took.String(),
	})
	if cut {
		l.WithError(t.Err).Warn(message + " in part")
		return
	}
	l.Info(message)
}
