package classifier

import (
	"strings"

	pg_query "github.com/pganalyze/pg_query_go/v6"
)

// Settings that change where a string of a text ends.
const (
	settingStrings  = "standard_conforming_strings"
	settingEncoding = "client_encoding"
)

// unsafeEncodings holds the client encodings in which a byte of a character may be that of an ASCII
// character, such as the backslash. Their names are in lower case and consist of letters and digits, as
// PostgreSQL compares them.
var unsafeEncodings = map[string]bool{
	"big5": true, "win950": true, "windows950": true,
	"gb18030": true,
	"gbk":     true, "win936": true, "windows936": true,
	"johab": true,
	"sjis":  true, "mskanji": true, "shiftjis": true, "win932": true, "windows932": true,
	"shiftjis2004": true,
	"uhc":          true, "win949": true, "windows949": true,
}

// ChangesSyntax reports whether a setting makes the server divide texts otherwise than the parser here.
// What counts as a part of a string here would run there unseen, and could stay on the connection.
func ChangesSyntax(name, value string) bool {
	switch strings.ToLower(name) {
	case settingStrings:
		return !isOn(value)
	case settingEncoding:
		return unsafeEncodings[strings.Map(lettersAndDigits, strings.ToLower(value))]
	}
	return false
}

// isOn reports whether value is one of PostgreSQL's names for true.
func isOn(value string) bool {
	v := strings.ToLower(strings.TrimSpace(value))
	if v == "1" || v == "on" {
		return true
	}
	return v != "" && (strings.HasPrefix("true", v) || strings.HasPrefix("yes", v))
}

func lettersAndDigits(r rune) rune {
	if r >= 'a' && r <= 'z' || r >= '0' && r <= '9' {
		return r
	}
	return -1
}

// checkSetConfig refuses a call of set_config with constants that changes the syntax.
func (s *Statement) checkSetConfig(f *pg_query.FuncCall) {
	if len(f.Args) < 2 {
		return
	}
	n, v := f.Args[0].GetAConst(), f.Args[1].GetAConst()
	if n != nil && v != nil && ChangesSyntax(constantText(n), constantText(v)) {
		s.refuse(RefusalSyntaxSetting)
	}
}
