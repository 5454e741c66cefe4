package classifier

import (
	"strings"

	pg_query "github.com/pganalyze/pg_query_go/v6"
)

// cursorHold is the option bit of DECLARE ... WITH HOLD.
const cursorHold = 0x0020

// parse classifies a text without its leading comment.
func parse(sql string) Statement {
	if len(sql) > maximumUncheckedBytes {
		return parseLong(sql)
	}
	return parseTree(sql)
}

// parseTree classifies a text that the parser can handle within its stack.
func parseTree(sql string) Statement {
	r, err := pg_query.Parse(sql)
	if err != nil {
		return unparsed()
	}
	var s Statement
	for _, n := range r.Stmts {
		s.Parts = append(s.Parts, s.addNode(n.Stmt))
	}
	s.summarize()
	return s
}

// unparsed returns the result for a text of unknown effect: it may write and leave any state on the
// connection.
func unparsed() Statement {
	return Statement{
		Parts:       []Part{{Kind: KindUnparsed}},
		Kind:        KindUnparsed,
		Writes:      true,
		Pin:         PinUnparsed,
		HiddenState: true,
	}
}

// summarize sets the fields that follow from all parts.
func (s *Statement) summarize() {
	if len(s.Parts) == 0 {
		s.Kind = KindEmpty
		s.ReplicaSafe = true
		return
	}
	s.ReplicaSafe = true
	for _, p := range s.Parts {
		s.Writes = s.Writes || p.Kind.mayWrite()
		s.ReplicaSafe = s.ReplicaSafe && p.Kind.replicaSafe()
		s.checkCuminwickSetting(p)
	}
	s.ReplicaSafe = s.ReplicaSafe && !s.Writes && s.Pin == PinNone
	s.Kind = s.Parts[0].Kind
	if len(s.Parts) == 1 {
		return
	}
	s.Kind = KindWrite
	if s.ReplicaSafe {
		s.Kind = KindRead
	}
}

// checkCuminwickSetting sets CuminwickSetting or Refusal if p sets, resets or shows a setting of
// cuminwick itself.
func (s *Statement) checkCuminwickSetting(p Part) {
	if !strings.HasPrefix(p.Name, CuminwickPrefix) {
		return
	}
	switch p.Kind {
	case KindSet, KindReset, KindShow:
	default:
		return
	}
	if len(s.Parts) > 1 {
		s.Refusal = RefusalMixedSettings
		return
	}
	s.CuminwickSetting = true
	if !cuminwickSettings[p.Name] {
		s.Refusal = RefusalUnknownSetting
	}
}

func (k Kind) mayWrite() bool {
	switch k {
	case KindWrite, KindUnparsed, KindCopyIn, KindNotify, KindLock, KindExecute, KindCommit:
		return true
	}
	return false
}

// replicaSafe reports whether a part of this kind may run on a replica. Kinds that belong to an open
// transaction or a pinned session are excluded, because their server is already chosen.
func (k Kind) replicaSafe() bool {
	switch k {
	case KindEmpty, KindRead, KindShow, KindCopyOut:
		return true
	}
	return false
}

// addNode returns the part for one statement and adds its effects on the session.
func (s *Statement) addNode(n *pg_query.Node) Part {
	switch v := n.GetNode().(type) {
	case *pg_query.Node_SelectStmt:
		return s.addQuery(v.SelectStmt)
	case *pg_query.Node_ExplainStmt:
		return s.addExplain(v.ExplainStmt)
	case *pg_query.Node_TransactionStmt:
		return s.addTransaction(v.TransactionStmt)
	case *pg_query.Node_VariableSetStmt:
		return s.addSet(v.VariableSetStmt)
	case *pg_query.Node_VariableShowStmt:
		return Part{Kind: KindShow, Name: strings.ToLower(v.VariableShowStmt.Name)}
	case *pg_query.Node_CopyStmt:
		return s.addCopy(v.CopyStmt)
	case *pg_query.Node_PrepareStmt:
		s.pin(PinPrepare)
		s.checkPrepared(v.PrepareStmt.Name)
		return Part{Kind: KindPrepare, Name: v.PrepareStmt.Name}
	case *pg_query.Node_ExecuteStmt:
		s.checkPrepared(v.ExecuteStmt.Name)
		return Part{Kind: KindExecute, Name: v.ExecuteStmt.Name}
	case *pg_query.Node_DeallocateStmt:
		s.checkPrepared(v.DeallocateStmt.Name)
		return Part{Kind: KindDeallocate, Name: v.DeallocateStmt.Name}
	case *pg_query.Node_DeclareCursorStmt:
		return s.addCursor(v.DeclareCursorStmt)
	case *pg_query.Node_FetchStmt:
		return Part{Kind: KindFetch, Name: v.FetchStmt.Portalname}
	case *pg_query.Node_ClosePortalStmt:
		return Part{Kind: KindClose, Name: v.ClosePortalStmt.Portalname}
	case *pg_query.Node_DiscardStmt:
		return discardPart(v.DiscardStmt)
	default:
		return s.addOther(n)
	}
}

// addOther handles the statements that addNode doesn't.
func (s *Statement) addOther(n *pg_query.Node) Part {
	switch v := n.GetNode().(type) {
	case *pg_query.Node_ListenStmt:
		s.pin(PinListen)
		return Part{Kind: KindListen, Name: v.ListenStmt.Conditionname}
	case *pg_query.Node_UnlistenStmt:
		return Part{Kind: KindUnlisten, Name: v.UnlistenStmt.Conditionname}
	case *pg_query.Node_NotifyStmt:
		return Part{Kind: KindNotify, Name: v.NotifyStmt.Conditionname}
	case *pg_query.Node_LockStmt:
		return Part{Kind: KindLock}
	case *pg_query.Node_DoStmt, *pg_query.Node_CallStmt:
		s.HiddenState = true
	case *pg_query.Node_LoadStmt:
		s.pin(PinSessionFunction)
	}
	s.scan(n)
	return Part{Kind: KindWrite}
}

// addQuery handles SELECT, VALUES and TABLE.
func (s *Statement) addQuery(q *pg_query.SelectStmt) Part {
	if s.scan(&pg_query.Node{Node: &pg_query.Node_SelectStmt{SelectStmt: q}}) {
		return Part{Kind: KindWrite}
	}
	return Part{Kind: KindRead}
}

// addExplain handles EXPLAIN, which runs its query only with ANALYZE.
func (s *Statement) addExplain(e *pg_query.ExplainStmt) Part {
	for _, o := range e.Options {
		d := o.GetDefElem()
		if d.GetDefname() != "analyze" {
			continue
		}
		p := s.addNode(e.Query)
		if p.Kind != KindRead {
			p.Kind = KindWrite
		}
		return Part{Kind: p.Kind}
	}
	if x := e.Query.GetExecuteStmt(); x != nil {
		s.checkPrepared(x.Name)
	}
	return Part{Kind: KindRead}
}

func (s *Statement) addCopy(c *pg_query.CopyStmt) Part {
	switch {
	case c.IsProgram || c.Filename != "":
		return Part{Kind: KindWrite}
	case c.IsFrom:
		return Part{Kind: KindCopyIn}
	case c.Query != nil && s.scan(c.Query):
		return Part{Kind: KindWrite}
	}
	return Part{Kind: KindCopyOut}
}

func (s *Statement) addCursor(d *pg_query.DeclareCursorStmt) Part {
	if d.Options&cursorHold != 0 {
		s.pin(PinHoldCursor)
	}
	if s.scan(d.Query) {
		s.Writes = true
	}
	return Part{Kind: KindDeclare, Name: d.Portalname}
}

func (s *Statement) pin(p Pin) {
	if s.Pin == PinNone {
		s.Pin = p
	}
}

func discardPart(d *pg_query.DiscardStmt) Part {
	p := Part{Kind: KindDiscard}
	switch d.Target {
	case pg_query.DiscardMode_DISCARD_ALL:
		p.Name = "all"
	case pg_query.DiscardMode_DISCARD_PLANS:
		p.Name = "plans"
	case pg_query.DiscardMode_DISCARD_SEQUENCES:
		p.Name = "sequences"
	case pg_query.DiscardMode_DISCARD_TEMP:
		p.Name = "temp"
	}
	return p
}
