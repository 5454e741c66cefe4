package exchanger

import (
	"github.com/cuminwick/cuminwick/internal/session/replayer"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
)

// adapt makes a batch of its own for this connection, without the Parse
// messages of statements that the server knows. The caller's batch stays as it
// is, so that it can be sent again over another connection.
func (x *Exchange) adapt() {
	if x.AskBefore {
		x.Conn.Replay.SimpleQuerySent()
	}
	if !x.namesStatements() {
		return
	}
	b := &batcher.Batch{}
	b.Grow(len(x.Batch.Items), x.Batch.Bytes())
	for i, t := range x.Batch.Items {
		switch {
		case t.Type == batcher.Parse && t.Name != "" && t.Answer != batcher.Inject:
			x.adaptParse(b, i)
		default:
			b.Add(t.Type, t.Answer, x.Batch.Raw(i))
			b.Items[len(b.Items)-1].Begins = t.Begins
		}
	}
	x.Batch = b
}

// namesStatements reports whether the batch prepares a named statement; most
// don't, and are sent as they are.
func (x *Exchange) namesStatements() bool {
	named := false
	for _, t := range x.Batch.Items {
		if t.Type == batcher.Query {
			x.Conn.Replay.SimpleQuerySent()
		}
		named = named || t.Name != ""
	}
	return named
}

func (x *Exchange) adaptParse(b *batcher.Batch, i int) {
	t := x.Batch.Items[i]
	p := x.Conn.Replay.PlanStatement(t.Name, replayer.Prepared{ID: replayer.StatementID(t.Name)})
	if p.Close != "" {
		b.AddBody(batcher.Close, batcher.Swallow, []byte{'S'}, []byte(p.Close), []byte{0})
	}
	if !p.Parse {
		b.Add(t.Type, known(t.Answer), x.Batch.Raw(i))
		return
	}
	b.Add(t.Type, t.Answer, x.Batch.Raw(i))
	b.Items[len(b.Items)-1].Name = t.Name
}

// known returns what becomes of a Parse whose statement the server knows.
func known(a batcher.Answer) batcher.Answer {
	if a == batcher.Pass {
		return batcher.Inject
	}
	return batcher.Drop
}

func (x *Exchange) bytes() []byte {
	p := make([]byte, 0, x.Batch.Bytes()+2*len(question))
	if x.AskBefore {
		p = append(p, question...)
	}
	p = x.Batch.Append(p)
	if x.AskPosition {
		x.Conn.Replay.SimpleQuerySent()
		p = append(p, question...)
	}
	return p
}

// question asks for the log position. Nearly each request sends it, so it is made once.
var question = batcher.EncodeQuery(positionSQL)
