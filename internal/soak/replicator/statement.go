package replicator

import "strings"

// statement is the text of a statement, taken apart.
type statement struct {
	keyword string
	// after is the position of the prefix AFTER, empty without one; text is the text without that prefix.
	after, text string
	// name is that of SET, PREPARE, EXEC and DEALLOC, mode the kind of transaction or prepared statement.
	name, mode string
	// argument is the last field: an item, a value, a shape, a term, or an item with data.
	argument string
	// item and data are those of READ and WRITE.
	item, data string
}

// parse takes a text apart, and returns false if it isn't one of the protocol. Fields are separated by one
// blank, the last one extends to the end.
func parse(text string) (statement, bool) {
	x := statement{text: text}
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		x.after, x.text, _ = strings.Cut(rest, " ")
	}
	keyword, rest, more := strings.Cut(x.text, " ")
	x.keyword = keyword
	ok := false
	switch keyword {
	case "COMMIT", "ROLLBACK", "RESET", "STATUS", "RESUME":
		return x, !more
	case "BEGIN":
		x.mode = rest
		return x, !more || rest == "READ"
	case "READ":
		x.item = rest
		return x, rest != ""
	case "WRITE":
		x.item, x.data, ok = strings.Cut(rest, " ")
		return x, ok && x.item != ""
	case "SET", "EXEC":
		x.name, x.argument, ok = strings.Cut(rest, " ")
		return x, ok && x.name != ""
	case "DEALLOC":
		x.name = rest
		return x, rest != ""
	case "PREPARE":
		x.name, rest, _ = strings.Cut(rest, " ")
		x.mode, x.argument, _ = strings.Cut(rest, " ")
		return x, x.name != "" && x.argument != "" && (x.mode == "READ" || x.mode == "WRITE")
	case "DEMOTE", "PAUSE":
		x.argument = rest
		return x, rest != ""
	}
	return x, false
}

// prepared is a prepared statement.
type prepared struct {
	mode, shape string
}

// resolve returns the read or write that the execution of a prepared statement is.
func (x statement) resolve(p prepared) (statement, bool) {
	x.keyword, x.mode = p.mode, p.shape
	if p.mode == "READ" {
		x.item = x.argument
		return x, true
	}
	ok := false
	x.item, x.data, ok = strings.Cut(x.argument, " ")
	return x, ok && x.item != ""
}
