package exchanger

import (
	"github.com/cuminwick/cuminwick/internal/session/replayer"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
)

// rewriteBatch replaces the batch by a copy for this connection, without the Parse messages of
// statements that the server has already prepared. The caller's batch isn't modified, so that it
// can be sent again over another connection.
func (x *Exchange) rewriteBatch() {
	if x.AskBefore {
		x.Conn.Replay.SimpleQuerySent()
	}
	if !x.preparesStatements() {
		return
	}
	b := &batcher.Batch{}
	b.Grow(len(x.Batch.Items), x.Batch.Size())
	for i, t := range x.Batch.Items {
		switch {
		case t.Type == batcher.Parse && t.Name != "" && t.Answer != batcher.Inject:
			x.rewriteParse(b, i)
		default:
			b.Add(t.Type, t.Answer, x.Batch.Raw(i))
			b.Items[len(b.Items)-1].Begins = t.Begins
			b.Items[len(b.Items)-1].Results = t.Results
		}
	}
	x.Batch = b
}

// preparesStatements reports whether the batch prepares a named statement. Most batches don't and
// are sent without a copy. It also records the batch's simple queries in Conn.Replay.
func (x *Exchange) preparesStatements() bool {
	named := false
	for _, t := range x.Batch.Items {
		if t.Type == batcher.Query {
			x.Conn.Replay.SimpleQuerySent()
		}
		named = named || t.Name != ""
	}
	return named
}

// rewriteParse appends what replaces the named Parse i to b: a Close of the statement that is
// evicted, if any, and the Parse itself if the server hasn't prepared the statement.
func (x *Exchange) rewriteParse(b *batcher.Batch, i int) {
	t := x.Batch.Items[i]
	p := x.Conn.Replay.PlanStatement(t.Name, replayer.Prepared{ID: replayer.StatementID(t.Name)})
	if p.Close != "" {
		b.AddBody(batcher.Close, batcher.Discard, []byte{'S'}, []byte(p.Close), []byte{0})
	}
	if !p.Parse {
		b.Add(t.Type, answerToKnownParse(t.Answer), x.Batch.Raw(i))
		return
	}
	b.Add(t.Type, t.Answer, x.Batch.Raw(i))
	b.Items[len(b.Items)-1].Name = t.Name
}

// answerToKnownParse returns how to answer a Parse that isn't sent because the server has already
// prepared its statement.
func answerToKnownParse(a batcher.Answer) batcher.Answer {
	if a == batcher.Pass {
		return batcher.Inject
	}
	return batcher.Omit
}

// encode returns the bytes to send: the batch, preceded by a position query if AskBefore is set and
// followed by one if AskPosition is set, or else by a proof if AskProof is set.
func (x *Exchange) encode() []byte {
	p := make([]byte, 0, x.Batch.Size()+2*maximumPositionQueryBytes)
	if x.AskBefore {
		p = x.before.appendTo(p, x.Conn)
	}
	p = x.Batch.AppendTo(p)
	if x.AskPosition {
		x.Conn.Replay.SimpleQuerySent()
		p = x.after.appendTo(p, x.Conn)
	} else if x.AskProof && len(x.Batch.Items) > 0 {
		// The proof replaces the unnamed prepared statement.
		x.Conn.Replay.SimpleQuerySent()
		p = x.proof.appendTo(p, x.Conn, x.Batch.Items[len(x.Batch.Items)-1].Type)
	}
	return p
}
