package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

// session is one connection of a client to an entry host.
type session struct {
	record   *record
	host     string
	database string
	service  string
	conn     net.Conn
	reader   *bufio.Reader
}

var errAnswer = errors.New("answer not understood")

func (s *session) start() error {
	c, err := net.DialTimeout("tcp4", s.host, 2*time.Second)
	if err != nil {
		return err
	}
	s.conn, s.reader = c, bufio.NewReader(c)
	c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(c, "STARTUP %s key1\r\n", s.database); err != nil {
		return err
	}
	l, err := s.reader.ReadString('\n')
	if err == nil && !strings.HasPrefix(l, "READY") {
		err = fmt.Errorf("%w: %s", errAnswer, strings.TrimSpace(l))
	}
	if err != nil {
		c.Close()
	}
	return err
}

// answer is the answer to one statement.
type answer struct {
	// code is OK, or that of the error.
	code, row, signature, detail string
}

// query runs one statement.
func (s *session) query(id, text string, timeout time.Duration) (answer, error) {
	s.conn.SetDeadline(time.Now().Add(timeout))
	if _, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return answer{}, err
	}
	var a answer
	for {
		l, err := s.reader.ReadString('\n')
		if err != nil {
			return a, err
		}
		keyword, rest, _ := strings.Cut(strings.TrimRight(l, "\r\n"), " ")
		switch keyword {
		case "ROW":
			a.row = rest
		case "DONE":
			a.code, a.signature = "OK", rest
		case "ERR":
			a.code, a.detail, _ = strings.Cut(rest, " ")
		case "READY":
			return a, nil
		default:
			return a, errAnswer
		}
	}
}

// writer writes in a loop over one session at a time. It never repeats a write.
type writer struct {
	session
	name string
	// hosts are tried in turn after a lost connection.
	hosts []string
}

func (w *writer) run(stop <-chan struct{}) {
	for n, h := 0, 0; ; h++ {
		w.host = w.hosts[h%len(w.hosts)]
		if err := w.start(); err != nil {
			w.record.add("%s: no session at %s: %v", w.name, w.host, err)
			if ended(stop, 200*time.Millisecond) {
				return
			}
			continue
		}
		for {
			n++
			id := fmt.Sprintf("%s.%05d", w.name, n)
			sent := w.record.now()
			a, err := w.query(id, fmt.Sprintf("WRITE item%s v%d", w.name, n), 4*time.Second)
			switch {
			case err != nil:
				w.record.count("connection lost")
				w.record.add("%s sent to %s at %s: connection lost: %v", id, w.host, sent, err)
			case a.code == "OK" && strings.HasSuffix(a.signature, "."+id):
				w.record.count("success")
				w.record.acknowledge(w.service, id)
				w.record.add("%s sent to %s at %s: success %s", id, w.host, sent, a.signature)
			default:
				w.record.count(a.code)
				w.record.add("%s sent to %s at %s: %s %s", id, w.host, sent, a.code, a.detail)
			}
			pause := 5 * time.Millisecond
			if a.code != "OK" {
				pause = 100 * time.Millisecond
			}
			if ended(stop, pause) {
				w.conn.Close()
				return
			}
			if err != nil {
				w.conn.Close()
				break
			}
		}
	}
}

// ended waits for the pause, and reports whether stop is closed.
func ended(stop <-chan struct{}, pause time.Duration) bool {
	select {
	case <-stop:
		return true
	case <-time.After(pause):
		return false
	}
}
