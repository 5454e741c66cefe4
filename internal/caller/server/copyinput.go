package server

import (
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
	"github.com/cuminwick/cuminwick/internal/pool/exchanger"
	"github.com/cuminwick/cuminwick/internal/statement/classifier"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
	"github.com/cuminwick/cuminwick/internal/wire/framer"
)

// copyInput implements exchanger.Input. It passes on only the messages of COPY, and the Sync that ends
// one of the extended protocol.
//
// The server may have failed the COPY already, while the caller still sends data. It ignores these
// messages then, but would answer any other one, and the answer would be that to the connection's
// next statement.
type copyInput struct {
	session *Session
	// extended says that the batch ends with a Sync, which the server ignores during the COPY.
	extended bool
	// ended says that CopyDone or CopyFail was passed on.
	ended bool
}

// copyInput returns the caller's messages for a COPY that is begun by a batch whose last message has
// type end.
func (s *Session) copyInput(end byte) exchanger.Input {
	return &copyInput{session: s, extended: end == batcher.Sync}
}

// copyInput returns the input of the plan's batch, nil if none of its statements is a COPY FROM STDIN.
func (a *attempt) copyInput() exchanger.Input {
	i := a.plan.batch.Items
	if len(i) == 0 || !a.mayCopyIn() {
		return nil
	}
	return a.session.copyInput(i[len(i)-1].Type)
}

// mayCopyIn reports whether one of the plan's statements is a COPY FROM STDIN, or may be.
func (a *attempt) mayCopyIn() bool {
	for _, d := range a.plan.executed {
		if d.statement.Kind == classifier.KindUnparsed || copiesIn(&d.statement) {
			return true
		}
	}
	return false
}

// Next implements exchanger.Input.
func (c *copyInput) Next() (byte, []byte, error) {
	for {
		t, raw, err := c.session.Next()
		if err != nil {
			return 0, nil, err
		}
		pass, ok := c.accept(t, len(raw)-framer.HeaderBytes)
		if !ok {
			return 0, nil, c.refuse(t)
		}
		if pass {
			return t, raw, nil
		}
	}
}

// accept reports whether a message of type t with a body of n bytes is passed on, and whether it is
// allowed.
func (c *copyInput) accept(t byte, n int) (pass, ok bool) {
	switch t {
	case batcher.CopyData, batcher.CopyFail:
	case batcher.CopyDone, batcher.Sync, batcher.Flush:
		if n > 0 {
			return false, false
		}
	default:
		return false, false
	}
	switch {
	case t == batcher.Flush:
		return false, true
	case t == batcher.Sync:
		return c.extended && c.ended, true
	case c.extended && c.ended:
		return false, true
	}
	c.ended = t != batcher.CopyData
	return true, true
}

// refuse ends the session because of a message that isn't allowed during a COPY.
func (c *copyInput) refuse(t byte) error {
	s := c.session
	s.fatal(&failure{code: codeProtocol, message: "message " + quoteType(t) + " during COPY FROM STDIN", outcome: recorder.Unknown})
	s.out.err = errors.Annotatef(ErrMalformed, "message %q during COPY", t)
	return s.out.err
}
