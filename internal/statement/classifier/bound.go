package classifier

import (
	"strings"

	pg_query "github.com/pganalyze/pg_query_go/v6"
)

// Bounds on the texts that are passed to the parser. It is written in C and recursive: a chain of some
// 30,000 operators exhausts an 8 MiB stack, which ends the process and with it every session of the
// entry host. Within these bounds the deepest tree takes less than half of the stack.
const (
	// maximumUncheckedBytes is the length up to which a text is parsed without counting its operators;
	// it has no room for too many.
	maximumUncheckedBytes = 16 << 10
	// maximumParsedOperators is the highest number of operators and keywords of a longer text that is
	// parsed.
	maximumParsedOperators = 2000
	// maximumScannedBytes is the longest text that is scanned for tokens.
	maximumScannedBytes = 1 << 20
)

// outline holds what the tokens of a text show without parsing it.
type outline struct {
	// operators counts the tokens that can add a level to the tree.
	operators       int
	firstToken      pg_query.Token
	singleStatement bool
	// mayCallKnownFunction is set if a token is the name of one of functions.
	mayCallKnownFunction bool
}

// parseLong classifies a text that may have too deep a tree for the parser. A text with too many
// operators is unparsed, except for a single INSERT, UPDATE or DELETE without a known function: it is
// a write that leaves no state on the connection, whatever its tree.
func parseLong(sql string) Statement {
	if len(sql) > maximumScannedBytes {
		return unparsed()
	}
	r, err := pg_query.Scan(sql)
	if err != nil {
		return unparsed()
	}
	o := readOutline(sql, r.Tokens)
	if o.operators <= maximumParsedOperators {
		return parseTree(sql)
	}
	if !o.singleStatement || o.mayCallKnownFunction {
		return unparsed()
	}
	switch o.firstToken {
	case pg_query.Token_INSERT, pg_query.Token_UPDATE, pg_query.Token_DELETE_P:
		return Statement{Parts: []Part{{Kind: KindWrite}}, Kind: KindWrite, Writes: true}
	}
	return unparsed()
}

// readOutline returns the outline of sql from its tokens.
func readOutline(sql string, tokens []*pg_query.ScanToken) outline {
	o := outline{singleStatement: true}
	for i, t := range tokens {
		if i == 0 {
			o.firstToken = t.Token
		}
		last := i == len(tokens)-1
		o.singleStatement = o.singleStatement && (t.Token != pg_query.Token_ASCII_59 || last)
		if addsDepth(t) {
			o.operators++
		}
		o.mayCallKnownFunction = o.mayCallKnownFunction || isKnownFunction(sql[t.Start:t.End])
	}
	return o
}

// addsDepth reports whether t can add a level to the tree: all tokens but names, constants, the
// punctuation of lists, and the keywords that are constants.
func addsDepth(t *pg_query.ScanToken) bool {
	switch t.Token {
	case pg_query.Token_ASCII_40, pg_query.Token_ASCII_41, pg_query.Token_ASCII_44,
		pg_query.Token_ASCII_46, pg_query.Token_ASCII_59,
		pg_query.Token_NULL_P, pg_query.Token_TRUE_P, pg_query.Token_FALSE_P, pg_query.Token_DEFAULT,
		pg_query.Token_IDENT, pg_query.Token_SCONST, pg_query.Token_ICONST, pg_query.Token_FCONST,
		pg_query.Token_PARAM, pg_query.Token_BCONST, pg_query.Token_XCONST:
		return false
	}
	return true
}

// isKnownFunction reports whether a token, perhaps in double quotes, is the name of one of functions.
func isKnownFunction(token string) bool {
	w := strings.ToLower(strings.Trim(token, `"`))
	return functions[w] != effectNone
}
