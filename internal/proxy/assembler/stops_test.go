package assembler

import (
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/platform"
)

// Guards against callers and borrowers that are served after the drain, whose statements end with the process.
func TestStoppedHostTakesNothing(t *testing.T) {
	i := startInstance(t)
	h := startHost(t, i.listener.Addr().String())
	l, err := platform.ConnectLink(t.Context(), h.settings.HostAddress(), declarer.Server{ID: "i-1", Group: "g"})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	close(h.drain)
	if err := <-h.done; err != nil {
		t.Error(err)
	}
	for _, a := range []string{h.settings.CallerAddress, h.settings.HostAddress()} {
		if c, err := net.Dial("tcp4", a); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("%s accepts connections after the end: %v", a, err)
			if err == nil {
				c.Close()
			}
		}
	}
	end := time.Now().Add(10 * time.Second)
	l.Borrow(connpooler.AcquireRequest{Deadline: end, Class: admitter.ClassWrite, Team: "books"})
	if err := l.Send([]declarer.Request{{ID: "x", Text: "WRITE a one"}}, end); err != nil {
		t.Fatal(err)
	}
	var a declarer.Answer
	if err := l.Receive(&a, end); err != nil || a.Code != declarer.CodeServerUnreachable {
		t.Errorf("a link is answered with code %d, %v", a.Code, err)
	}
}

// Guards against a statement that waits for its server until the process ends, without an answer to its caller.
func TestStatementIsAnsweredBeforeHostEnds(t *testing.T) {
	for text, want := range map[string]string{
		"READ a":      "ERR TIMEOUT ",
		"WRITE a one": "ERR UNKNOWN ",
	} {
		t.Run(text, func(t *testing.T) {
			i := startInstance(t)
			h := startHost(t, i.listener.Addr().String())
			c := h.call(t, "books")
			c.line()
			c.expect(t, "WRITE a zero", "DONE sig1|READY I 1.2") // opens a connection to the server
			close(h.drain)
			h.awaitReadiness(t, http.StatusServiceUnavailable)
			i.mu.Lock()
			defer i.mu.Unlock()
			if a := c.ask(text); !strings.HasPrefix(a, want) || !strings.HasSuffix(a, "READY I -") {
				t.Errorf("answered with %q", a)
			}
			select {
			case <-h.done:
				t.Error("the host ended before the answer")
			default:
				<-h.done
			}
		})
	}
}

// Guards against a transaction that begins at a stopping host and is cut off before it can end.
func TestStoppingHostBeginsNoTransactionTooLate(t *testing.T) {
	i := startInstance(t)
	h := startHost(t, i.listener.Addr().String())
	open := h.call(t, "books")
	open.line()
	open.expect(t, "BEGIN", "DONE -|READY T -")
	close(h.drain)
	h.awaitReadiness(t, http.StatusServiceUnavailable)
	time.Sleep(h.settings.Grace * 5 / 8)
	answer := "end"
	for answer == "end" { // a session that is idle for a moment is ended
		late := h.call(t, "books")
		late.line()
		if answer = late.ask("BEGIN"); answer != "end" && late.line() != "end" {
			t.Error("the session goes on at the stopping host")
		}
	}
	if want := "ERR BUSY not run: the host is stopping, retry at another one|READY I -"; answer != want {
		t.Errorf("a late BEGIN is answered with %q", answer)
	}
	open.expect(t, "WRITE a one", "DONE sig1|READY T 1.2")
	open.expect(t, "COMMIT", "DONE sig2|READY I 1.2")
	<-h.done
}
