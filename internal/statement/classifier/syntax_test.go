package classifier

import "testing"

// Guards against texts that the server divides into other statements than the classifier: with
// standard_conforming_strings off, or in an encoding whose characters may hold the byte of a
// backslash, a string ends elsewhere. A SET ROLE inside of what counts as a string would stay on the
// connection for its next caller.
func TestSettingsThatChangeSyntax(t *testing.T) {
	for _, tt := range []struct {
		text    string
		refused bool
	}{
		{"SET standard_conforming_strings = off", true},
		{"SET standard_conforming_strings TO 'off'", true},
		{"SET Standard_Conforming_Strings TO false", true},
		{`SET "STANDARD_CONFORMING_STRINGS" TO 0`, true},
		{"SET LOCAL standard_conforming_strings = off", true},
		{"SELECT 1; SET standard_conforming_strings = of", true},
		{"SELECT set_config('standard_conforming_strings', 'off', false)", true},
		{"SELECT set_config('Standard_Conforming_Strings', 'off', true)", true},
		{"SELECT pg_catalog.set_config('client_encoding', 'SJIS', true)", true},
		{"SET standard_conforming_strings = on", false},
		{"SET standard_conforming_strings TO DEFAULT", false},
		{"RESET standard_conforming_strings", false},
		{"SHOW standard_conforming_strings", false},
		{"SET client_encoding = 'SJIS'", true},
		{"SET client_encoding = 'shift_jis_2004'", true},
		{"SET NAMES 'Big5'", true},
		{"SET client_encoding TO GBK", true},
		{"SET client_encoding TO 'Win-950'", true},
		{"SET client_encoding TO 'GB 18030'", true},
		{"SET client_encoding TO uhc", true},
		{"SET client_encoding TO 'johab'", true},
		{"SET client_encoding = 'UTF8'", false},
		{"SET NAMES 'utf-8'", false},
		{"SET client_encoding = 'LATIN1'", false},
		{"SET client_encoding = 'sql_ascii'", false},
		{"SET NAMES DEFAULT", false},
		{"SELECT set_config('work_mem', '4MB', false)", false},
		{"SELECT set_config(name, value, false) FROM settings", false},
	} {
		var c Classifier
		s, err := c.Classify(tt.text)
		if err != nil || (s.Refusal != RefusalNone) != tt.refused {
			t.Errorf("%s: refusal %q, error %v, want refused %t", tt.text, s.Refusal, err, tt.refused)
		}
	}
}
