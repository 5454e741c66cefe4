package replicator

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// repeatPercent is the share of answers that a server that repeats answers sends a second time, within
	// maximumRepeatDelay.
	repeatPercent      = 2
	maximumRepeatDelay = 500 * time.Millisecond
	// specialPercent is the share of second answers that are cut in, and that of those that are signed anew, where
	// servers do so.
	specialPercent = 15
)

// Repetition is how servers that repeat answers send second answers: whole and unchanged, and some otherwise.
type Repetition struct {
	// CutIn sends some in the middle of the next answer, SignAnew some with a signature of their own.
	CutIn, SignAnew bool
}

// AnswerCount is how many answers the servers of a group sent, and how many of them twice.
type AnswerCount struct {
	All, Repeated int
}

// Answers returns how many answers were sent.
func (g *Group) Answers() AnswerCount {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.answers
}

// send writes an answer, and a second answer that is owed in its middle if it has more than one line.
func (c *connection) send(a reply) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := a.lines()
	if c.owed != "" && len(l) > 1 {
		l = slices.Insert(l, 1, c.owed)
		c.owed = ""
	}
	_, err := c.conn.Write([]byte(strings.Join(l, "")))
	return err
}

// repeat sends some answers a second time while the server repeats answers. The server's state doesn't change by
// that.
func (c *connection) repeat(a reply) {
	if !c.responder.Group.repeats(c) {
		return
	}
	g := c.responder.Group
	how, after := c.random.IntN(100), time.Duration(c.random.Int64N(int64(maximumRepeatDelay)))
	if g.Repetition.SignAnew && how >= 100-specialPercent && a.execution != nil && a.signature != "-" {
		a.signature = g.signAnew(a.execution)
	}
	s := strings.Join(a.lines(), "")
	if g.Repetition.CutIn && how < specialPercent {
		c.owe(s)
		return
	}
	time.AfterFunc(after, (&repetition{connection: c, answer: s}).run)
}

// repeats counts an answer and reports whether it is sent twice.
func (g *Group) repeats(c *connection) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answers.All++
	if !c.responder.Server.repeating || c.random.IntN(100) >= repeatPercent {
		return false
	}
	g.answers.Repeated++
	return true
}

// signAnew returns a further signature of the execution.
func (g *Group) signAnew(e *Execution) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	e.SecondSignature = g.signature(e.ID)
	return e.SecondSignature
}

// signature returns a signature that holds the id of the statement and is unique to the run. The caller holds
// the mutex.
func (g *Group) signature(id string) string { return fmt.Sprintf("sig.%s.%d", id, g.number()) }

// owe makes the next answer have another one in its middle.
func (c *connection) owe(answer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owed = answer
}

// repetition is a second answer.
type repetition struct {
	connection *connection
	answer     string
}

func (r *repetition) run() {
	r.connection.mu.Lock()
	defer r.connection.mu.Unlock()
	_, _ = r.connection.conn.Write([]byte(r.answer))
}
