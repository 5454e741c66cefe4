package runner

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
)

const (
	// priorities is the number of priorities that a ranked configuration gives routes and customers.
	priorities = 3
	// unrankedVersions is after how many versions of a ranked configuration one comes that ranks nothing,
	// so that hosts with and without the ranking lend to each other.
	unrankedVersions = 4
)

// isRanked reports whether the configuration of the soak ranks requests: in one soak of four, half of them
// with identified callers whose connections one host owns.
func isRanked(seed uint64) bool { return seed%8 == 2 || seed%8 == 5 }

// ranks reports whether a version of the configuration ranks requests.
func (d *deployment) ranks(version int64) bool { return d.ranked && version%unrankedVersions != 0 }

// routePriority returns the priority of the routes of a kind in a version of the configuration, nil for
// none. Routes that versions add have none.
func (d *deployment) routePriority(kind string, version int64) *int {
	if !d.ranks(version) {
		return nil
	}
	p := map[string]int{"every": 0, "age": 1, "own": 2}[kind]
	return &p
}

// rank sets the priority of customer i in a version of the configuration. The first customer declares no
// priority, the second a share.
func (d *deployment) rank(t *customer, i int, version int64) {
	if !d.ranks(version) || i == 0 {
		return
	}
	p := i % priorities
	t.Priority = &p
	if i == 1 {
		t.Share = 2.5
	}
}

// checkImportance returns a finding if the hosts' logs have no statement of some priority, so that
// nothing was ranked, or have one although nothing is.
func (d *deployment) checkImportance() []string {
	var b []byte
	for _, h := range d.hosts {
		l, err := os.ReadFile(filepath.Join(d.directory, h.Name+".log"))
		if err != nil {
			return []string{"log: " + err.Error()}
		}
		b = append(b, l...)
	}
	if !d.ranked {
		if bytes.Contains(b, []byte(`"importance":`)) {
			return []string{"importance: statements are ranked by a configuration without priorities"}
		}
		return nil
	}
	var findings []string
	for p := range priorities {
		found := false
		for i := range 8 {
			found = found || bytes.Contains(b, fmt.Appendf(nil, `"importance":%d,`, p*8+i))
		}
		if !found {
			findings = append(findings, fmt.Sprintf("idle: no statement of priority %d is in the logs, so the ranking wasn't checked", p))
		}
	}
	return findings
}
