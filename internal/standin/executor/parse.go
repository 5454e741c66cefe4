package executor

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"
	pgquery "github.com/pganalyze/pg_query_go/v6"
	"github.com/pganalyze/pg_query_go/v6/parser"
)

// Sizes of the cache of parse results.
const (
	cachedStatements    = 4096
	longestCachedString = 8192
)

// Parser parses SQL with PostgreSQL's own parser and remembers the results.
// It is used by many goroutines; a parse result is never changed.
type Parser struct {
	once  sync.Once
	cache *lru.Cache[string, []*pgquery.Node]
}

// Parse returns the statements of a query string.
func (p *Parser) Parse(sql string) ([]*pgquery.Node, error) {
	p.once.Do(p.setUp)
	if n, ok := p.cache.Get(sql); ok {
		return n, nil
	}
	r, err := pgquery.Parse(sql)
	if err != nil {
		return nil, syntaxError(err)
	}
	var n []*pgquery.Node
	for _, s := range r.Stmts {
		n = append(n, s.Stmt)
	}
	if len(sql) <= longestCachedString {
		p.cache.Add(sql, n)
	}
	return n, nil
}

func (p *Parser) setUp() {
	// New fails only for a size that isn't positive.
	p.cache, _ = lru.New[string, []*pgquery.Node](cachedStatements)
}

func syntaxError(err error) error {
	e := &pgconn.PgError{Severity: "ERROR", Code: codeSyntaxError, Message: err.Error()}
	var x *parser.Error
	if errors.As(err, &x) {
		e.Message = x.Message
		e.Position = int32(x.Cursorpos)
	}
	return e
}

// lastName returns the last string of a qualified name.
func lastName(n []*pgquery.Node) string {
	if len(n) == 0 {
		return ""
	}
	return n[len(n)-1].GetString_().GetSval()
}

func typeByName(t *pgquery.TypeName) (uint32, error) {
	n := lastName(t.GetNames())
	o, ok := typeNames[n]
	if !ok || len(t.GetArrayBounds()) > 0 {
		return 0, failure(codeFeatureNotSupported, "type %q is not supported by the stand-in", n)
	}
	return o, nil
}
