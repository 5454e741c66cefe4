package executor

import (
	"bytes"
	"context"
	"fmt"
	"strings"

	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// CopyIn takes the data of a COPY FROM STDIN.
type CopyIn struct {
	// ColumnCount is the number of columns of a line.
	ColumnCount int

	insertion *insertion
	rest      []byte
}

// copies runs COPY FROM STDIN and COPY TO STDOUT in text form.
func (s *Session) copies(q *pgquery.CopyStmt) (*Result, error) {
	for _, o := range q.Options {
		d := o.GetDefElem()
		if d.GetDefname() != "format" || d.GetArg().GetString_().GetSval() != "text" {
			return nil, failure(codeFeatureNotSupported, "COPY option %q is not supported by the stand-in", d.GetDefname())
		}
	}
	if q.Filename != "" || q.IsProgram || q.WhereClause != nil {
		return nil, failure(codeFeatureNotSupported, "only COPY FROM STDIN and TO STDOUT are supported by the stand-in")
	}
	if q.IsFrom {
		return s.copyFrom(q)
	}
	return s.copyTo(q)
}

func (s *Session) copyFrom(q *pgquery.CopyStmt) (*Result, error) {
	t, err := s.writes()
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
	i := &insertion{session: s, transaction: t, definition: d, columns: n, scope: c, returning: &returning{scope: c}}
	return &Result{CopyIn: &CopyIn{ColumnCount: len(n), insertion: i}}, nil
}

// copyTargets turns COPY's names into an INSERT's column list.
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
	r, err := s.selects(s.context, o, nil)
	if err != nil {
		return nil, err
	}
	r.CopyOut = true
	return r, nil
}

// Data takes the next part of the data, which may end within a line.
func (c *CopyIn) Data(ctx context.Context, b []byte) error {
	c.rest = append(c.rest, b...)
	for {
		l, r, ok := bytes.Cut(c.rest, []byte("\n"))
		if !ok {
			return nil
		}
		c.rest = r
		if err := c.line(ctx, strings.TrimSuffix(string(l), "\r")); err != nil {
			return Translate(err)
		}
	}
}

func (c *CopyIn) line(ctx context.Context, l string) error {
	if l == `\.` {
		return nil
	}
	f := strings.Split(l, "\t")
	if len(f) != c.ColumnCount {
		return failure("22P04", "COPY line has %d columns, expected %d", len(f), c.ColumnCount)
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
	return c.insertion.one(ctx, v, nil)
}

// copyUnescapes turns the text form's escapes back.
var copyUnescapes = strings.NewReplacer(`\\`, "\\", `\b`, "\b", `\f`, "\f", `\n`, "\n", `\r`, "\r", `\t`, "\t", `\v`, "\v")

func copyUnescape(t string) string {
	if !strings.Contains(t, `\`) {
		return t
	}
	return copyUnescapes.Replace(t)
}

// Done ends the data and returns the command tag.
func (c *CopyIn) Done(ctx context.Context) (string, error) {
	if len(c.rest) > 0 {
		if err := c.Data(ctx, []byte("\n")); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("COPY %d", c.insertion.returning.count), nil
}
