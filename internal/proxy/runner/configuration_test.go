package runner

import (
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"github.com/cuminwick/cuminwick/internal/proxy/blackboard"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// Guards against values that are in force in place of the declared ones without a line of the log, and
// against a line each time that the same configuration is read again.
func TestReplacedValuesAreLoggedOnce(t *testing.T) {
	m := memory.New()
	h := &Host{Board: &blackboard.Board{}, Log: &log.Logger{Handler: m}}
	good, bad := &declarer.Configuration{Version: 1}, &declarer.Configuration{Version: 2, Replaced: []string{"route r: priority is 9", "1 more"}}
	for _, c := range []*declarer.Configuration{good, bad, bad} {
		h.setConfiguration(c)
	}
	var got []*log.Entry
	for _, e := range m.Entries {
		if e.Level == log.WarnLevel {
			got = append(got, e)
		}
	}
	if len(got) != 1 || got[0].Fields["values"] != "route r: priority is 9; 1 more" || got[0].Fields["version"] != uint64(2) {
		t.Errorf("%d lines of replaced values: %+v", len(got), got)
	}
}
