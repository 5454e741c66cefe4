package dialer

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/peer/encoder"
)

// answeredStream is a stream whose peer has answered and stopped reading before the end of the
// request is written.
type answeredStream struct {
	bytes.Buffer
	answer bytes.Buffer
}

func (h *answeredStream) Read(p []byte) (int, error)  { return h.answer.Read(p) }
func (h *answeredStream) CloseWrite() error           { return errors.New("close called for canceled stream") }
func (h *answeredStream) SetDeadline(time.Time) error { return nil }

// While the caller's host is short of processor time, the peer receives the whole request, answers
// and stops reading, so that closing the write side fails. If that failed the call, a report on a
// primary or the status of a backend server would be discarded, and a primary that has just
// answered would count as silent.
func TestAnswerBeforeEndOfRequest(t *testing.T) {
	h := &answeredStream{}
	if err := encoder.Write(&h.answer, encoder.Answer{Sender: encoder.Sender{Host: "b"}, Body: []byte{1}}); err != nil {
		t.Fatal(err)
	}
	var a encoder.Answer
	if err := exchange(t.Context(), h, encoder.Request{Kind: encoder.KindObserve}, &a); err != nil {
		t.Fatal(err)
	}
	if a.Sender.Host != "b" || len(a.Body) != 1 {
		t.Errorf("answer %+v", a)
	}
}
