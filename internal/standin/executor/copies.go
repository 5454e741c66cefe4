package executor

import (
	"bytes"
	"context"
	"fmt"
	"strings"

	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// CopyIn receives the data of a COPY FROM STDIN and inserts its rows.
type CopyIn struct {
	// ColumnCount is the number of columns in each line.
	ColumnCount int

	insertion   *insertOperation
	partialLine []byte
}

// runCopy runs COPY FROM STDIN and COPY TO STDOUT in text format.
func (s *Session) runCopy(q *pgquery.CopyStmt) (*Result, error) {
	for _, o := range q.Options {
		d := o.GetDefElem()
		if d.GetDefname() != "format" || d.GetArg().GetString_().GetSval() != "text" {
			return nil, pgError(codeFeatureNotSupported, "COPY option %q is not supported by the stand-in", d.GetDefname())
		}
	}
	if q.Filename != "" || q.IsProgram || q.WhereClause != nil {
		return nil, pgError(codeFeatureNotSupported, "only COPY FROM STDIN and TO STDOUT are supported by the stand-in")
	}
	if q.IsFrom {
		return s.copyFrom(q)
	}
	return s.copyTo(q)
}

func (s *Session) copyFrom(q *pgquery.CopyStmt) (*Result, error) {
	t, err := s.writableTransaction()
	if err != nil {
		return nil, err
	}
	d, err := s.table(q.Relation)
	if err != nil {
		return nil, err
	}
	n, err := insertColumns(d, copyTargets(q))
	if err != nil {
		return nil, err
	}
	c := s.tableScope(d, nil)
	i := &insertOperation{session: s, transaction: t, definition: d, columns: n, scope: c, returning: &returningClause{scope: c}}
	return &Result{CopyIn: &CopyIn{ColumnCount: len(n), insertion: i}}, nil
}

// copyTargets converts the column names of a COPY to the column list of an INSERT.
func copyTargets(q *pgquery.CopyStmt) []*pgquery.Node {
	var l []*pgquery.Node
	for _, a := range q.Attlist {
		l = append(l, pgquery.MakeResTargetNodeWithName(a.GetString_().GetSval(), 0))
	}
	return l
}

func (s *Session) copyTo(q *pgquery.CopyStmt) (*Result, error) {
	o := q.Query.GetSelectStmt()
	if o == nil {
		o = &pgquery.SelectStmt{FromClause: []*pgquery.Node{{Node: &pgquery.Node_RangeVar{RangeVar: q.Relation}}}}
		for _, a := range q.Attlist {
			n := pgquery.MakeColumnRefNode([]*pgquery.Node{a}, 0)
			o.TargetList = append(o.TargetList, pgquery.MakeResTargetNodeWithVal(n, 0))
		}
		if len(q.Attlist) == 0 {
			n := pgquery.MakeColumnRefNode([]*pgquery.Node{pgquery.MakeAStarNode()}, 0)
			o.TargetList = append(o.TargetList, pgquery.MakeResTargetNodeWithVal(n, 0))
		}
	}
	r, err := s.runSelect(s.statementContext, o, nil)
	if err != nil {
		return nil, err
	}
	r.CopyOut = true
	return r, nil
}

// Data inserts the rows of the next part of the data, which may end within a line.
func (c *CopyIn) Data(ctx context.Context, b []byte) error {
	c.partialLine = append(c.partialLine, b...)
	for {
		l, r, ok := bytes.Cut(c.partialLine, []byte("\n"))
		if !ok {
			return nil
		}
		c.partialLine = r
		if err := c.insertLine(ctx, strings.TrimSuffix(string(l), "\r")); err != nil {
			return Translate(err)
		}
	}
}

func (c *CopyIn) insertLine(ctx context.Context, l string) error {
	if l == `\.` {
		return nil
	}
	f := strings.Split(l, "\t")
	if len(f) != c.ColumnCount {
		return pgError("22P04", "COPY line has %d columns, expected %d", len(f), c.ColumnCount)
	}
	v := make([]any, len(f))
	for i, t := range f {
		if t == `\N` {
			continue
		}
		x, err := ParseText(c.insertion.definition.Columns[c.insertion.columns[i]].Type, copyUnescape(t))
		if err != nil {
			return err
		}
		v[i] = x
	}
	return c.insertion.insertRow(ctx, v, nil)
}

// copyUnescapes replaces the escape sequences of COPY's text format.
var copyUnescapes = strings.NewReplacer(`\\`, "\\", `\b`, "\b", `\f`, "\f", `\n`, "\n", `\r`, "\r", `\t`, "\t", `\v`, "\v")

func copyUnescape(t string) string {
	if !strings.Contains(t, `\`) {
		return t
	}
	return copyUnescapes.Replace(t)
}

// Done inserts a last line without a line feed and returns the command tag.
func (c *CopyIn) Done(ctx context.Context) (string, error) {
	if len(c.partialLine) > 0 {
		if err := c.Data(ctx, []byte("\n")); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("COPY %d", c.insertion.returning.count), nil
}
