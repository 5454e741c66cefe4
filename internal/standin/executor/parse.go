package executor

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"
	pgquery "github.com/pganalyze/pg_query_go/v6"
	"github.com/pganalyze/pg_query_go/v6/parser"
)

// Limits of the cache of parse results.
const (
	maximumCachedStrings = 4096
	maximumCachedLength  = 8192 // bytes of a query string
)

// Parser parses SQL with PostgreSQL's own parser and caches the results.
// It is safe for concurrent use. Callers must not modify a parse result, as sessions share it.
type Parser struct {
	once  sync.Once
	cache *lru.Cache[string, []*pgquery.Node]
}

// Parse returns the statements of a query string, or a PostgreSQL syntax error.
func (p *Parser) Parse(sql string) ([]*pgquery.Node, error) {
	p.once.Do(p.createCache)
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
	if len(sql) <= maximumCachedLength {
		p.cache.Add(sql, n)
	}
	return n, nil
}

func (p *Parser) createCache() {
	// New returns an error only for a size that is not positive.
	p.cache, _ = lru.New[string, []*pgquery.Node](maximumCachedStrings)
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
		return 0, pgError(codeFeatureNotSupported, "type %q is not supported by the stand-in", n)
	}
	return o, nil
}
