package server

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cuminwick/cuminwick/internal/caller/greeter"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/pool/exchanger"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
	"github.com/cuminwick/cuminwick/internal/session/tracker"
	"github.com/cuminwick/cuminwick/internal/statement/classifier"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
	"github.com/cuminwick/cuminwick/internal/wire/follower"
	"github.com/cuminwick/cuminwick/internal/wire/framer"
)

// echoDirector leases connections to a server that answers each message with a success and records
// what it is sent.
type echoDirector struct {
	Director
	sent []byte
}

func (e *echoDirector) Groups() []string { return nil }

func (e *echoDirector) Choose(context.Context, Query) (Choice, error) {
	return Choice{Server: "a", Lessor: e}, nil
}

func (e *echoDirector) WaitAcknowledged(context.Context, string, marker.Mark) error { return nil }

func (e *echoDirector) Observe(string, string, marker.Mark) {}

func (e *echoDirector) Lease(context.Context, lessor.Demand) (lessor.Lease, error) { return e, nil }

func (e *echoDirector) Parameters() map[string]string { return nil }

func (e *echoDirector) Release(lessor.Return) {}

func (e *echoDirector) Exchange(_ context.Context, x lessor.Exchange) (exchanger.Result, error) {
	e.sent = x.Batch.AppendTo(e.sent)
	var r exchanger.Result
	for _, i := range x.Batch.Items {
		t := answerType[i.Type]
		if i.Answer != batcher.Discard && t != 0 {
			_ = x.Output.Frame(t, []byte(encode(t, "X\x00")), true, true)
		}
		if i.Type == batcher.Sync || i.Type == batcher.Query {
			r.Status = exchanger.Idle
		}
	}
	if x.AskPosition {
		r.Position = marker.Mark{Term: 1, Position: 1}
	}
	return r, nil
}

// noMarks is a Marks without tokens.
type noMarks struct{}

func (noMarks) Sign([]tracker.GroupMark) (string, error) { return "", errors.New("no tokens") }

func (noMarks) Restore(string, []string, *tracker.Tracker) error { return nil }

// answerType is the type of the message that completes the answer to a message.
var answerType = map[byte]byte{
	batcher.Query:   follower.CommandComplete,
	batcher.Execute: follower.CommandComplete,
}

// encode returns one message of the protocol.
func encode(t byte, body string) string {
	return string(binary.BigEndian.AppendUint32([]byte{t}, uint32(4+len(body)))) + body
}

// converse sends these messages on a session and returns the types of the messages up to the nth
// ReadyForQuery or the end of the connection, a dot, with the text of the last error.
func converse(t *testing.T, e *echoDirector, parameters map[string]string, n int, sent ...string) (types, text string) {
	t.Helper()
	near, far := net.Pipe()
	defer near.Close()
	s := &Session{
		StartupRequest:      greeter.StartupRequest{Conn: far, Parameters: parameters},
		Director:            e,
		Marks:               noMarks{},
		Classifier:          &classifier.Classifier{},
		Log:                 &log.Logger{Handler: discard.New()},
		MaximumMessageBytes: 1 << 16,
		WriteTimeout:        time.Second,
		RequestTimeout:      time.Second,
	}
	s.Prepare(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run() }()
	near.SetDeadline(time.Now().Add(5 * time.Second))
	r := framer.Reader{Source: bufio.NewReader(near), MaximumBytes: 1 << 16}
	readTo := func(z int) {
		for z > 0 {
			f, err := r.NextWhole()
			if err != nil {
				types += "."
				return
			}
			types += string(f.Type)
			switch f.Type {
			case follower.ReadyForQuery:
				z--
			case follower.ErrorResponse:
				var m pgproto3.ErrorResponse
				if err := m.Decode(f.Body()); err != nil {
					t.Error(err)
				}
				text = m.Code + " " + m.Message
			}
		}
	}
	readTo(1)
	if text != "" {
		return types, text
	}
	types = ""
	go func() { _, _ = io.WriteString(near, strings.Join(sent, "")) }()
	readTo(n)
	near.Close()
	<-done
	return types, text
}

// Guards against messages whose end the caller and the backend server see at different places, or
// that the server answers otherwise than expected. After a Flush with a body, PostgreSQL sends
// ReadyForQuery, which the connection's next caller would get. A simple query inside a batch of the
// extended protocol would be answered before the batch. Text after the end of a string would be
// dropped.
func TestMalformedMessageIsRefused(t *testing.T) {
	parse, bind, execute := encode(batcher.Parse, "\x00SELECT 1\x00\x00\x00"), encode(batcher.Bind, strings.Repeat("\x00", 8)), encode(batcher.Execute, strings.Repeat("\x00", 5))
	sync := encode(batcher.Sync, "")
	for _, tt := range []struct {
		name  string
		types string
		sent  []string
	}{
		{"flush with a body", "E.", []string{parse, bind, execute, encode(batcher.Flush, "x"), sync}},
		{"sync with a body", "E.", []string{parse, bind, execute, encode(batcher.Sync, "x")}},
		{"sync with a body of many bytes", "E.", []string{encode(batcher.Sync, strings.Repeat("x", 40000))}},
		{"query inside a batch", "E.", []string{parse, bind, execute, encode(batcher.Query, "SELECT 2\x00"), sync}},
		{"query with text after its end", "EZ", []string{encode(batcher.Query, "SELECT 1\x00; SELECT 2\x00")}},
		{"query without an end", "EZ", []string{encode(batcher.Query, "SELECT 1")}},
		{"empty query message", "EZ", []string{encode(batcher.Query, "")}},
		{"execute with text after its end", "EZ", []string{parse, bind, encode(batcher.Execute, strings.Repeat("\x00", 6)), sync}},
		{"execute without a row limit", "EZ", []string{parse, bind, encode(batcher.Execute, "\x00\x00\x00"), sync}},
		{"describe with text after its end", "EZ", []string{parse, bind, encode(batcher.Describe, "P\x00x"), sync}},
		{"describe of a statement with text after its end", "EZ", []string{parse, encode(batcher.Describe, "S\x00x"), sync}},
		{"close with text after its end", "EZ", []string{encode(batcher.Close, "Sname\x00x"), sync}},
		{"close of a portal with text after its end", "EZ", []string{encode(batcher.Close, "Pname\x00x"), sync}},
		{"bind with parameters that aren't there", "EZ", []string{parse, encode(batcher.Bind, "\x00\x00\x00\x00\x00\x01\x00\x00"), sync}},
		{"bind with text after its end", "EZ", []string{parse, encode(batcher.Bind, strings.Repeat("\x00", 9)), sync}},
		{"bind with a negative count", "EZ", []string{parse, encode(batcher.Bind, "\x00\x00\xff\xff\x00\x00\x00\x00"), sync}},
		{"unknown type", "E.", []string{encode('?', "")}},
		{"password after the login", "E.", []string{encode('p', "secret\x00")}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			e := &echoDirector{}
			types, text := converse(t, e, nil, 1, tt.sent...)
			if types != tt.types || !strings.HasPrefix(text, codeProtocol) {
				t.Errorf("caller got %q, error %q, want %q; server got %q", types, text, tt.types, e.sent)
			}
			if len(e.sent) > 0 {
				t.Errorf("server got %q", e.sent)
			}
		})
	}
}

// Guards against a surplus or missing ReadyForQuery: a caller that pipelines takes each answer for that
// to its next request.
func TestOneReadyForQueryPerSync(t *testing.T) {
	parse, bind, execute := encode(batcher.Parse, "\x00SELECT 1\x00\x00\x00"), encode(batcher.Bind, strings.Repeat("\x00", 8)), encode(batcher.Execute, strings.Repeat("\x00", 5))
	sync, flush, query := encode(batcher.Sync, ""), encode(batcher.Flush, ""), encode(batcher.Query, "SELECT 2\x00")
	for _, tt := range []struct {
		name  string
		sent  []string
		types string
	}{
		{"syncs only", []string{sync, sync}, "ZZ"},
		{"batch, then query", []string{parse, bind, execute, sync, query}, "CZCZ"},
		{"two batches", []string{parse, bind, execute, sync, parse, bind, execute, sync}, "CZCZ"},
		{"flush, then sync, then query", []string{parse, bind, execute, flush, sync, query}, "CZCZ"},
		{"error, skipped messages, query", []string{encode(batcher.Bind, "\x00none\x00\x00\x00\x00\x00\x00\x00"), execute, sync, query}, "EZCZ"},
		{"error at a flush, query that is skipped, sync, query", []string{encode(batcher.Bind, "\x00none\x00\x00\x00\x00\x00\x00\x00"), flush, query, sync, query}, "EZCZ"},
		{"late data of a COPY", []string{encode(batcher.CopyData, "x"), encode(batcher.CopyDone, ""), encode(batcher.CopyFail, "x\x00"), query, sync}, "CZZ"},
		{"empty queries", []string{encode(batcher.Query, "\x00"), encode(batcher.Query, ";\x00")}, "IZIZ"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if types, text := converse(t, &echoDirector{}, nil, 2, tt.sent...); types != tt.types {
				t.Errorf("caller got %q, error %q, want %q", types, text, tt.types)
			}
		})
	}
}

// Guards against a caller whose texts the servers divide otherwise than the entry host.
func TestStartupSettingsThatChangeSyntax(t *testing.T) {
	for _, tt := range []struct {
		name, value string
		refused     bool
	}{
		{"standard_conforming_strings", "off", true},
		{"Standard_Conforming_Strings", "0", true},
		{"client_encoding", "SJIS", true},
		{"standard_conforming_strings", "on", false},
		{"client_encoding", "'utf-8'", false},
		{"search_path", "app", false},
	} {
		types, text := converse(t, &echoDirector{}, map[string]string{tt.name: tt.value}, 1, encode(batcher.Sync, ""))
		if (types == "E.") != tt.refused || strings.HasPrefix(text, codeFeature) != tt.refused {
			t.Errorf("%s=%s: caller got %q, error %q", tt.name, tt.value, types, text)
		}
	}
}
