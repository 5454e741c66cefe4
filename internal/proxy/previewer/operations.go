package previewer

import "github.com/cuminwick/cuminwick/internal/proxy/declarer"

// OperationChange is a change of what operators hold back or drain.
type OperationChange struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Change is ChangeHeld, ChangeDrained or ChangeReleased.
	Change string `json:"change"`
}

// Changes of what operators hold back or drain.
const (
	ChangeHeld     = "held"
	ChangeDrained  = "drained"
	ChangeReleased = "released"
)

// CompareOperations returns what is newly held, drained or released, by kind and name.
func CompareOperations(before, after *declarer.Operations) []OperationChange {
	l := []OperationChange{}
	l = appendChanges(l, KindCustomer, ChangeHeld, before.HeldCustomers, after.HeldCustomers)
	l = appendChanges(l, KindRoute, ChangeHeld, before.HeldRoutes, after.HeldRoutes)
	l = appendChanges(l, KindServer, ChangeDrained, before.DrainedServers, after.DrainedServers)
	return appendChanges(l, KindHost, ChangeDrained, before.DrainedHosts, after.DrainedHosts)
}

func appendChanges(l []OperationChange, kind, change string, before, after map[string]bool) []OperationChange {
	for _, n := range unionOfKeys(before, after) {
		switch {
		case after[n] && !before[n]:
			l = append(l, OperationChange{Kind: kind, Name: n, Change: change})
		case before[n] && !after[n]:
			l = append(l, OperationChange{Kind: kind, Name: n, Change: ChangeReleased})
		}
	}
	return l
}
