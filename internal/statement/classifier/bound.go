package classifier

import (
	"strings"

	pg_query "github.com/pganalyze/pg_query_go/v6"
)

// Bounds on what is handed to the parser. It runs in C and descends by
// recursion: a chain of some 30,000 operators exhausts an 8 MiB stack, which
// ends the process and with it every session of the entry host. Below these
// bounds the deepest tree takes less than half of the stack.
const (
	// freelyParsedBytes is the length up to which a text can't hold too much.
	freelyParsedBytes = 16 << 10
	// maximumParsedOperators bounds the operators and keywords of a longer text.
	maximumParsedOperators = 2000
	// maximumScannedBytes is the longest text that is looked at.
	maximumScannedBytes = 1 << 20
)

// outline is what the tokens of a text show without its tree.
type outline struct {
	operators int
	// first is the first token, and single says that one statement is all.
	first  pg_query.Token
	single bool
	// known says that a function of the table, or a nested statement, may be in it.
	known bool
}

// parseLong classifies a text that may be too deep for the parser.
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
		return parseFreely(sql)
	}
	if !o.single || o.known {
		return unparsed()
	}
	switch o.first {
	case pg_query.Token_INSERT, pg_query.Token_UPDATE, pg_query.Token_DELETE_P:
		return Statement{Parts: []Part{{Kind: KindWrite}}, Kind: KindWrite, Writes: true}
	}
	return unparsed()
}

func readOutline(sql string, tokens []*pg_query.ScanToken) outline {
	o := outline{single: true}
	for i, t := range tokens {
		if i == 0 {
			o.first = t.Token
		}
		last := i == len(tokens)-1
		o.single = o.single && (t.Token != pg_query.Token_ASCII_59 || last)
		if deepens(t) {
			o.operators++
		}
		o.known = o.known || isKnownFunction(sql[t.Start:t.End])
	}
	return o
}

// deepens reports whether t can add a level to the tree: all but names,
// constants, lists and the keywords that stand for constants.
func deepens(t *pg_query.ScanToken) bool {
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

func isKnownFunction(word string) bool {
	w := strings.ToLower(strings.Trim(word, `"`))
	return functions[w] != effectNone
}
