package encoder

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Raw bytes of a transaction may follow a message on its stream. If Read consumed any of them, the
// transaction would lose them.
func TestReadLeavesBytesAfterMessage(t *testing.T) {
	want := Forward{BackendServer: "kalkul-1-a", Remaining: time.Second, Settings: []Setting{{Name: "timezone", Value: "'UTC'"}}}
	var b bytes.Buffer
	if err := Write(&b, want); err != nil {
		t.Fatal(err)
	}
	b.WriteString("raw")
	var got Forward
	if err := Read(&b, &got); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("message differs (-want +got):\n%s", d)
	}
	if b.String() != "raw" {
		t.Errorf("raw bytes after Read: %q, want all", b.String())
	}
}

// During a rolling upgrade, a host of a newer release sends a message with a field that this
// release doesn't define. If decoding failed, the hosts of both releases couldn't communicate.
func TestUnknownFieldsAreSkipped(t *testing.T) {
	type later struct {
		Key   uint64 `cbor:"1,keyasint"`
		Later string `cbor:"99,keyasint"`
	}
	b, err := Marshal(later{Key: 4, Later: "new"})
	if err != nil {
		t.Fatal(err)
	}
	var c Cancel
	if err := Unmarshal(b, &c); err != nil || c.Key != 4 {
		t.Errorf("got %+v, %v", c, err)
	}
}

func FuzzRead(f *testing.F) {
	var b bytes.Buffer
	if err := Write(&b, Request{Kind: KindCancel, Sender: Sender{Host: "a", Revision: 3}}); err != nil {
		f.Fatal(err)
	}
	f.Add(b.Bytes())
	f.Add([]byte{255, 255, 255, 255, 0})
	f.Add([]byte{0, 0, 0, 5, 0x9b, 255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, data []byte) {
		b := bytes.NewReader(data)
		var r Request
		if err := Read(b, &r); err != nil {
			return
		}
		if n := len(data) - b.Len(); n > lengthBytes+MaximumMessageBytes {
			t.Errorf("Read accepted a message of %d bytes", n)
		}
		if err := Write(io.Discard, r); err != nil {
			t.Errorf("Write of a message that was read failed: %v", err)
		}
	})
}
