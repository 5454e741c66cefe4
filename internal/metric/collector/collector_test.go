package collector

import (
	"os"
	"regexp"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
)

// Guards against metrics that docs/metrics.md omits, and against entries there of metrics that don't
// exist.
func TestPageListsAllMetrics(t *testing.T) {
	page, err := os.ReadFile("../../../docs/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	var want, got []string
	for _, m := range regexp.MustCompile("(?m)^\\| `(cuminwick_[a-z_]+)").FindAllSubmatch(page, -1) {
		want = append(want, string(m[1]))
	}
	c := make(chan *prometheus.Desc, 1000)
	New().Registry.Describe(c)
	close(c)
	for d := range c {
		if m := regexp.MustCompile(`"(cuminwick_[a-z_]+)"`).FindStringSubmatch(d.String()); m != nil {
			got = append(got, m[1])
		}
	}
	slices.Sort(want)
	slices.Sort(got)
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("metrics in docs/metrics.md and in the code differ (-page +code):\n%s", d)
	}
}
