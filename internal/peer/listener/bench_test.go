package listener_test

import (
	"io"
	"net"
	"testing"

	"github.com/cuminwick/cuminwick/internal/peer/encoder"
)

const messageBytes = 200

// roundTrip measures the round trip of a message as long as a small query.
func roundTrip(b *testing.B, c io.ReadWriter) {
	m := make([]byte, messageBytes)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Write(m); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(c, m); err != nil {
			b.Fatal(err)
		}
	}
}

// startPair starts host a and an echoing host b, and returns a.
func startPair(b *testing.B) *host {
	a, k := authority(b), &addressBook{}
	x := start(b, a, k, "a", nil)
	start(b, a, k, "b", echo{})
	return x
}

func BenchmarkDirectTCP(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err == nil {
			io.Copy(c, c)
		}
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	roundTrip(b, c)
}

func BenchmarkForwardRoundTrip(b *testing.B) {
	s, _, err := startPair(b).dialer.Forward(b.Context(), "b", encoder.Forward{})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	roundTrip(b, s)
}

// Measures a transaction of one statement: request, grant, statement, answer, end.
func BenchmarkForwardTransaction(b *testing.B) {
	x := startPair(b)
	m := make([]byte, messageBytes)
	b.ReportAllocs()
	for b.Loop() {
		s, _, err := x.dialer.Forward(b.Context(), "b", encoder.Forward{BackendServer: "kalkul-1-a", Team: "costing"})
		if err != nil {
			b.Fatal(err)
		}
		if _, err := s.Write(m); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(s, m); err != nil {
			b.Fatal(err)
		}
		s.Close()
	}
}

func BenchmarkForwardTransactionParallel(b *testing.B) {
	x := startPair(b)
	b.ReportAllocs()
	b.SetParallelism(1)
	b.RunParallel(func(p *testing.PB) {
		m := make([]byte, messageBytes)
		for p.Next() {
			s, _, err := x.dialer.Forward(b.Context(), "b", encoder.Forward{})
			if err != nil {
				b.Error(err)
				return
			}
			s.Write(m)
			io.ReadFull(s, m)
			s.Close()
		}
	})
}
