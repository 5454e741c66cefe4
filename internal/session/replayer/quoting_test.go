package replayer

import (
	"testing"

	"github.com/cuminwick/cuminwick/internal/statement/classifier"
)

// Guards against settings whose names or values end their statement. What follows would run on the
// connection unseen, and change it for its next caller.
func FuzzSettingStaysOneStatement(f *testing.F) {
	f.Add("search_path", "app")
	f.Add("search_path", "'; SET ROLE admin; --")
	f.Add("search_path", `\'; SET ROLE admin; --`)
	f.Add("search_path", "a\nb\r\tc")
	f.Add("app.name", `\\`)
	f.Add(`a"; SET ROLE admin; --`, "x")
	f.Add(`a".b`, "x")
	f.Add("a b", "\xff\xfe")
	f.Add("a; SET role", "x")
	f.Add("", "")
	f.Add("session authorization", "x")
	f.Fuzz(func(t *testing.T, name, value string) {
		var c classifier.Classifier
		q := changeSQL(nil, Settings{{Name: name, SQLValue: classifier.Quote(value)}})
		s, err := c.Classify(q)
		if err != nil || s.Kind == classifier.KindUnparsed {
			// The server refuses the text as a whole, and the connection is closed.
			return
		}
		if len(s.Parts) != 1 || s.Parts[0].Kind != classifier.KindSet || s.Parts[0].Value != value {
			t.Errorf("setting %q to %q is sent as %q, which is %+v", name, value, q, s.Parts)
		}
	})
}
