package dialer

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/peer/encoder"
)

// hasty is a stream whose peer has answered, and reads no more, before the end of
// the request is written.
type hasty struct {
	bytes.Buffer
	answer bytes.Buffer
}

func (h *hasty) Read(p []byte) (int, error)  { return h.answer.Read(p) }
func (h *hasty) CloseWrite() error           { return errors.New("close called for canceled stream") }
func (h *hasty) SetDeadline(time.Time) error { return nil }

// A peer gets the whole request, answers and stops reading while the caller's host
// is short of processor time. Its word on a primary or its status of a backend server
// would be thrown away, and a primary be taken for silent that has just answered.
func TestAnswerBeforeTheEndOfItsRequest(t *testing.T) {
	h := &hasty{}
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
