package greeter

import (
	"bytes"
	"encoding/binary"
	"io"
	"maps"
	"net"
	"testing"

	"github.com/juju/errors"
)

// scriptedConn is the connection of a caller that sends the same bytes whatever the answers are.
type scriptedConn struct {
	net.Conn
	sent    bytes.Reader
	answers bytes.Buffer
}

func (s *scriptedConn) Read(p []byte) (int, error)  { return s.sent.Read(p) }
func (s *scriptedConn) Write(p []byte) (int, error) { return s.answers.Write(p) }
func (s *scriptedConn) RemoteAddr() net.Addr        { return &net.TCPAddr{} }

func greet(b []byte) (StartupRequest, *scriptedConn, error) {
	s := &scriptedConn{sent: *bytes.NewReader(b)}
	g, err := Greet(s, nil)
	return g, s, err
}

func startup(version uint32, body string) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(headerBytes+len(body)))
	b = binary.BigEndian.AppendUint32(b, version)
	return append(b, body...)
}

func TestGreet(t *testing.T) {
	for _, c := range []struct {
		name string
		sent []byte
		want error
	}{
		{"parameters", startup(3<<16, "user\x00a\x00database\x00b\x00\x00"), nil},
		{"empty value", startup(3<<16, "user\x00a\x00options\x00\x00\x00"), nil},
		{"truncated cancel key", startup(codeCancelRequest, "1234567"), ErrStartup},
		{"older version", startup(2<<16, ""), ErrVersion},
		{"length below the header's", []byte{0, 0, 0, 7, 0, 3, 0, 0}, ErrStartup},
		{"length above the limit", []byte{0, 0, 0x27, 0x11, 0, 3, 0, 0}, ErrStartup},
		{"no terminator", startup(3<<16, "user\x00a"), ErrStartup},
		{"no value", startup(3<<16, "user\x00\x00"), ErrStartup},
		{"no name", startup(3<<16, "user\x00a\x00\x00b\x00\x00"), ErrStartup},
		{"truncated message", startup(3<<16, "user\x00a\x00\x00")[:12], io.ErrUnexpectedEOF},
		{"endless encryption requests", bytes.Repeat(startup(codeSSLRequest, ""), 9), ErrStartup},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, _, err := greet(c.sent); !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
		})
	}
}

// Guards against startup packets that crash the parser or are misread. A startup message that is
// accepted must yield the same result when it is encoded again. Any other input must fail with
// ErrStartup, ErrVersion or the end of the stream.
func FuzzGreet(f *testing.F) {
	f.Add(startup(3<<16, "user\x00a\x00database\x00b\x00\x00"))
	f.Add(append(startup(codeSSLRequest, ""), startup(3<<16|2, "user\x00a\x00_pq_.x\x001\x00\x00")...))
	f.Add(startup(codeCancelRequest, "12345678"))
	f.Fuzz(func(t *testing.T, b []byte) {
		g, s, err := greet(b)
		if s.answers.Len() > maximumEncryptionRequests {
			t.Errorf("answered with %d bytes", s.answers.Len())
		}
		if err != nil {
			if !errors.Is(err, ErrStartup) && !errors.Is(err, ErrVersion) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("unexpected error %v", err)
			}
			return
		}
		if g.Cancel != nil {
			return
		}
		var e []byte
		for n, v := range g.Parameters {
			e = append(e, n+"\x00"+v+"\x00"...)
		}
		for _, n := range g.UnknownOptions {
			e = append(e, n+"\x00\x00"...)
		}
		a, _, err := greet(startup(3<<16|uint32(g.MinorVersion), string(e)+"\x00"))
		if err != nil || !maps.Equal(a.Parameters, g.Parameters) || len(a.UnknownOptions) != len(g.UnknownOptions) {
			t.Errorf("%q encoded and read again is %q, error %v", g.Parameters, a.Parameters, err)
		}
	})
}
