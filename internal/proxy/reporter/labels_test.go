package reporter

import (
	"fmt"
	"testing"
)

// Guards against metrics that grow with each customer that ever sent a statement.
func TestCustomerLabelsAreBounded(t *testing.T) {
	var l nameLabels
	labels := make(map[string]bool)
	for range 2 {
		for i := range 3 * maximumNames {
			labels[l.label(fmt.Sprint("c", i))] = true
		}
	}
	if len(labels) != maximumNames+1 || !labels["c0"] || !labels[otherNames] {
		t.Errorf("%d labels", len(labels))
	}
}
