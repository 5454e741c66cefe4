package replicator

import "maps"

// Execution is one run of a statement at a server.
type Execution struct {
	// ID is the id of the statement, Text its text without the prefix AFTER.
	ID, Text string
	// Keyword is the first word of the text.
	Keyword string
	// Mode and Shape are those that the name of a prepared statement stood for, Arguments what followed the
	// name in its execution.
	Mode, Shape, Arguments string
	// Values are the values that were set on the connection.
	Values map[string]string
	// Server is the id of the server.
	Server string
	// Connection is the number of the connection, Transaction that of the open transaction, zero without one.
	Connection, Transaction int
	// Writes is the number of writes of the open transaction.
	Writes int
	// Signature and Rows are the answer that the server sent, SecondSignature is that of a second answer
	// that was signed anew.
	Signature, SecondSignature string
	Rows                       []string
}

// execution returns the record of a statement that is about to run. The caller holds the group's mutex.
func (c *connection) execution(id string, x statement) *Execution {
	e := &Execution{ID: id, Text: x.text, Keyword: x.keyword, Values: maps.Clone(c.values), Server: c.responder.Server.ID, Connection: c.number, Transaction: c.transaction, Writes: len(c.written)}
	if x.keyword == "EXEC" {
		p := c.prepared[x.name]
		e.Mode, e.Shape, e.Arguments = p.mode, p.shape, x.argument
	}
	return e
}

// number returns a number that is unique in the group. The caller holds the mutex.
func (g *Group) number() int {
	g.numbers++
	return g.numbers
}
