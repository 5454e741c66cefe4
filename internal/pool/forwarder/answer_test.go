package forwarder

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/pool/exchanger"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
	"github.com/cuminwick/cuminwick/internal/pool/messenger"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
)

// keptFrames is an Output that keeps what the caller gets.
type keptFrames struct{ got string }

func (k *keptFrames) Frame(_ byte, part []byte, _, _ bool) error {
	k.got += string(part)
	return nil
}

// Guards against an answer of the pool owner that is cut, late or that of another exchange, and that
// the caller gets as the whole answer to its own.
func TestAnswerOfPoolOwner(t *testing.T) {
	part := func(first, last bool, p string) []byte {
		h := OutputHeader('D', first, last)
		return append(h[:], p...)
	}
	type sent struct {
		kind  messenger.Kind
		raw   []byte
		value any
	}
	result := sent{kind: messenger.KindResult, value: messenger.Result{Sequence: 3, Status: exchanger.Idle}}
	for _, tt := range []struct {
		name string
		sent []sent
		ok   bool
	}{
		{"rows", []sent{{kind: messenger.KindOutput, raw: part(true, true, "a")}, {kind: messenger.KindOutput, raw: part(true, true, "b")}, result}, true},
		{"row in parts", []sent{{kind: messenger.KindOutput, raw: part(true, false, "a")}, {kind: messenger.KindOutput, raw: part(false, false, "b")}, {kind: messenger.KindOutput, raw: part(false, true, "c")}, result}, true},
		{"no output", []sent{result}, true},
		{"answer to a flush", []sent{{kind: messenger.KindResult, value: messenger.Result{Sequence: 3}}}, true},
		{"result of the exchange before", []sent{{kind: messenger.KindResult, value: messenger.Result{Sequence: 2, Status: exchanger.Idle}}}, false},
		{"result of the next exchange", []sent{{kind: messenger.KindResult, value: messenger.Result{Sequence: 4, Status: exchanger.Idle}}}, false},
		{"result in an unknown state", []sent{{kind: messenger.KindResult, value: messenger.Result{Sequence: 3, Status: 'X'}}}, false},
		{"result that can't be read", []sent{{kind: messenger.KindResult, raw: []byte{0xff}}}, false},
		{"result with more bytes", []sent{{kind: messenger.KindResult, raw: []byte{0xa1, 1, 3, 0}}}, false},
		{"result within a row", []sent{{kind: messenger.KindOutput, raw: part(true, false, "a")}, result}, false},
		{"row within a row", []sent{{kind: messenger.KindOutput, raw: part(true, false, "a")}, {kind: messenger.KindOutput, raw: part(true, true, "b")}, result}, false},
		{"end of a row without its beginning", []sent{{kind: messenger.KindOutput, raw: part(false, true, "a")}, result}, false},
		{"output without a header", []sent{{kind: messenger.KindOutput, raw: []byte{'D'}}, result}, false},
		{"second lease", []sent{{kind: messenger.KindLeased, value: messenger.Leased{}}, result}, false},
		{"late request for the batch", []sent{{kind: messenger.KindRequestBatch}, result}, false},
		{"request for copy data", []sent{{kind: messenger.KindInput}, result}, false},
		{"unknown kind", []sent{{kind: '?'}, result}, false},
		{"end of the stream", nil, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			near, far := net.Pipe()
			defer near.Close()
			near.SetDeadline(time.Now().Add(5 * time.Second))
			go func() {
				c := &messenger.Conn{Stream: far}
				for _, m := range tt.sent {
					if m.value != nil {
						_ = c.SendValue(m.kind, m.value)
					} else {
						_ = c.Send(m.kind, m.raw)
					}
				}
				far.Close()
			}()
			b := &batcher.Batch{}
			b.AddQuery(batcher.Pass, "SELECT 1")
			e := &lease{forwarder: &Forwarder{}, conn: messenger.Conn{Stream: near}, sequence: 3}
			a := &answerReader{lease: e, exchange: lessor.Exchange{Batch: b, Output: &keptFrames{}}}
			r, err := a.receive()
			if (err == nil) != tt.ok || err != nil && (!errors.Is(err, exchanger.ErrLost) || !e.broken) {
				t.Errorf("result %+v, error %v, lease broken %t", r, err, e.broken)
			}
		})
	}
}
