package messenger

import (
	"bytes"
	"errors"
	"io"
	"testing"
)

// pipe is a Stream whose reads return what its writes wrote.
type pipe struct{ bytes.Buffer }

// FuzzConn guards against messages that are read with another end than they were written with, and
// against a cut message that is taken for a shorter one.
func FuzzConn(f *testing.F) {
	f.Add([]byte("a"), []byte("bc"), 0)
	f.Add([]byte{}, bytes.Repeat([]byte("x"), maximumKeptBytes+1), 7)
	f.Add(bytes.Repeat([]byte("y"), bufferBytes), []byte("Z\x00\x00\x00\x05I"), 3)
	f.Fuzz(func(t *testing.T, a, b []byte, cut int) {
		var p pipe
		w := Conn{Stream: &p, Prefix: []byte("prefix")}
		if w.Put(KindOutput, a, b) != nil || w.Send(KindResult, b) != nil {
			t.Fatal("not written")
		}
		if q := p.Next(6); string(q) != "prefix" {
			t.Fatalf("prefix %q", q)
		}
		all := bytes.Clone(p.Bytes())
		r := Conn{Stream: &p}
		k, m, err := r.Read()
		if err != nil || k != KindOutput || !bytes.Equal(m, append(bytes.Clone(a), b...)) {
			t.Errorf("read %q %q, %v", k, m, err)
		}
		if k, m, err = r.Read(); err != nil || k != KindResult || !bytes.Equal(m, b) {
			t.Errorf("read %q %q, %v", k, m, err)
		}
		if _, _, err = r.Read(); !errors.Is(err, io.EOF) {
			t.Errorf("error %v at the end", err)
		}
		n := headerBytes + len(a) + len(b)
		c := Conn{Stream: &pipe{*bytes.NewBuffer(all[:max(0, min(cut, n-1))])}}
		if k, m, err := c.Read(); err == nil {
			t.Errorf("%d of %d bytes read as %q %q", cut, n, k, m)
		}
	})
}

// Guards against memory for a message that is announced and never sent.
func TestAnnouncedMessageIsBounded(t *testing.T) {
	c := Conn{Stream: &pipe{*bytes.NewBufferString("I\xff\xff\xff\xff")}}
	if _, _, err := c.Read(); !errors.Is(err, ErrTooLarge) {
		t.Errorf("error %v, want %v", err, ErrTooLarge)
	}
	w := Conn{Stream: &pipe{}}
	if err := w.Send(KindItems, make([]byte, MaximumBytes), []byte{0}); !errors.Is(err, ErrTooLarge) {
		t.Errorf("error %v, want %v", err, ErrTooLarge)
	}
}
