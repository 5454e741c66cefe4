package classifier

import (
	"strings"

	pg_query "github.com/pganalyze/pg_query_go/v6"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// effect is what a call of a known function does besides returning a result.
type effect uint8

const (
	effectNone effect = iota
	// effectWrite requires the primary.
	effectWrite
	// effectAdvisoryLock takes a lock that is held until the session ends.
	effectAdvisoryLock
	// effectSession leaves other state on the connection.
	effectSession
	// effectSequence reads the connection's state of sequences.
	effectSequence
	// effectSetting changes a setting, for the session or only for the transaction.
	effectSetting
)

// functions holds the effects of the functions that are known to write or to keep state, by name
// without schema.
var functions = map[string]effect{
	"nextval":                          effectWrite,
	"setval":                           effectWrite,
	"currval":                          effectSequence,
	"lastval":                          effectSequence,
	"set_config":                       effectSetting,
	"setseed":                          effectSession,
	"txid_current":                     effectWrite,
	"pg_current_xact_id":               effectWrite,
	"pg_notify":                        effectWrite,
	"pg_export_snapshot":               effectWrite,
	"pg_cancel_backend":                effectWrite,
	"pg_terminate_backend":             effectWrite,
	"pg_current_wal_lsn":               effectWrite,
	"pg_current_wal_insert_lsn":        effectWrite,
	"pg_switch_wal":                    effectWrite,
	"pg_create_restore_point":          effectWrite,
	"pg_logical_emit_message":          effectWrite,
	"pg_advisory_lock":                 effectAdvisoryLock,
	"pg_advisory_lock_shared":          effectAdvisoryLock,
	"pg_try_advisory_lock":             effectAdvisoryLock,
	"pg_try_advisory_lock_shared":      effectAdvisoryLock,
	"pg_advisory_unlock":               effectWrite,
	"pg_advisory_unlock_shared":        effectWrite,
	"pg_advisory_unlock_all":           effectWrite,
	"pg_advisory_xact_lock":            effectWrite,
	"pg_advisory_xact_lock_shared":     effectWrite,
	"pg_try_advisory_xact_lock":        effectWrite,
	"pg_try_advisory_xact_lock_shared": effectWrite,
	"lo_creat":                         effectWrite,
	"lo_create":                        effectWrite,
	"lo_from_bytea":                    effectWrite,
	"lo_import":                        effectWrite,
	"lo_open":                          effectWrite,
	"lo_put":                           effectWrite,
	"lo_truncate":                      effectWrite,
	"lo_unlink":                        effectWrite,
	"lowrite":                          effectWrite,
	"dblink_connect":                   effectSession,
	"dblink_connect_u":                 effectSession,
}

// temporarySchema is the alias of a session's schema for temporary objects.
const temporarySchema = "pg_temp"

// scanner searches a statement's tree at any depth for writes and for effects on the session.
type scanner struct {
	s      *Statement
	writes bool
}

// scan adds the effects on the session that are found in n and reports whether n writes.
func (s *Statement) scan(n *pg_query.Node) bool {
	c := scanner{s: s}
	c.visitMessage(n.ProtoReflect())
	return c.writes
}

func (c *scanner) visitMessage(m protoreflect.Message) {
	switch v := m.Interface().(type) {
	case *pg_query.FuncCall:
		c.visitCall(v)
	case *pg_query.SelectStmt:
		c.writes = c.writes || len(v.LockingClause) > 0 || v.IntoClause != nil
	case *pg_query.InsertStmt, *pg_query.UpdateStmt, *pg_query.DeleteStmt, *pg_query.MergeStmt:
		c.writes = true
	case *pg_query.ExecuteStmt:
		c.s.checkPrepared(v.Name)
	case *pg_query.CreateStmt:
		c.visitRelation(v.Relation, v.Oncommit)
	case *pg_query.IntoClause:
		c.visitRelation(v.Rel, v.OnCommit)
	case *pg_query.ViewStmt:
		c.visitRelation(v.View, pg_query.OnCommitAction_ONCOMMIT_NOOP)
	case *pg_query.CreateSeqStmt:
		c.visitRelation(v.Sequence, pg_query.OnCommitAction_ONCOMMIT_NOOP)
	}
	m.Range(c.visitField)
}

func (c *scanner) visitField(d protoreflect.FieldDescriptor, v protoreflect.Value) bool {
	if d.Kind() != protoreflect.MessageKind {
		return true
	}
	if !d.IsList() {
		c.visitMessage(v.Message())
		return true
	}
	l := v.List()
	for i := range l.Len() {
		c.visitMessage(l.Get(i).Message())
	}
	return true
}

// visitRelation pins the session if r is a temporary relation that outlives the transaction.
func (c *scanner) visitRelation(r *pg_query.RangeVar, o pg_query.OnCommitAction) {
	t := r.GetRelpersistence() == "t" || r.GetSchemaname() == temporarySchema
	if t && o != pg_query.OnCommitAction_ONCOMMIT_DROP {
		c.s.pin(PinTemporaryTable)
	}
}

func (c *scanner) visitCall(f *pg_query.FuncCall) {
	if len(f.Funcname) == 0 {
		return
	}
	n := f.Funcname[len(f.Funcname)-1].GetString_().GetSval()
	switch functions[strings.ToLower(n)] {
	case effectWrite:
		c.writes = true
	case effectAdvisoryLock:
		c.writes = true
		c.s.pin(PinAdvisoryLock)
	case effectSession:
		c.s.pin(PinSessionFunction)
	case effectSequence:
		c.writes = true
		c.s.SequenceState = true
	case effectSetting:
		c.writes = true
		c.s.checkSetConfig(f)
		if !isLocalSetting(f) {
			c.s.pin(PinSessionFunction)
		}
	}
}

// isLocalSetting reports whether a call of set_config certainly applies to its transaction only.
func isLocalSetting(f *pg_query.FuncCall) bool {
	if len(f.Args) != 3 {
		return false
	}
	a := f.Args[2].GetAConst()
	return a.GetBoolval().GetBoolval()
}
