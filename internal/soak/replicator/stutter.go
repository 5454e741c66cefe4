package replicator

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// stutterPercent is the share of answers that a server which stutters sends a second time, within
	// maximumStutterDelay.
	stutterPercent      = 2
	maximumStutterDelay = 500 * time.Millisecond
	// cutPercent is the share of second answers that are sent in the middle of the next answer, signAnewPercent
	// that of those that are signed anew.
	cutPercent, signAnewPercent = 15, 15
)

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

// stutter sends some answers a second time while the server stutters. The server's state doesn't change by
// that.
func (c *connection) stutter(a reply) {
	if !c.responder.Group.repeats(c) {
		return
	}
	how, after := c.random.IntN(100), time.Duration(c.random.Int64N(int64(maximumStutterDelay)))
	if how >= 100-signAnewPercent && a.execution != nil && a.signature != "-" {
		a.signature = c.responder.Group.signAnew(a.execution)
	}
	s := strings.Join(a.lines(), "")
	if how < cutPercent {
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
	if !c.responder.Server.stutters || c.random.IntN(100) >= stutterPercent {
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
