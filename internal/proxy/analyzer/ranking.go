package analyzer

import (
	"cmp"
	"slices"
	"strconv"
)

// nameNone stands for the priority or customer of a statement without one.
const nameNone = "none"

// ranking counts lost statements by the priority of their route and by customer.
type ranking struct {
	// ranked is set once a lost statement had an importance. Without one, the counts are left out, so
	// that logs of configurations that rank nothing give the same summary as without this count.
	ranked     bool
	priorities map[string]int
	customers  map[string]int
}

func newRanking() ranking {
	return ranking{priorities: make(map[string]int), customers: make(map[string]int)}
}

func (r *ranking) add(x statement) {
	p := nameNone
	if x.Importance != nil {
		r.ranked = true
		p = strconv.Itoa(int(x.Importance.Level()))
	}
	r.priorities[p]++
	r.customers[cmp.Or(x.Customer, nameNone)]++
}

// finish returns the counts: priorities in their order, and customers by the number of lost statements
// in descending order.
func (r *ranking) finish() (priorities, customers []LossCount) {
	if !r.ranked {
		return nil, nil
	}
	priorities = lossCounts(r.priorities)
	slices.SortFunc(priorities, func(a, b LossCount) int { return cmp.Compare(a.Name, b.Name) })
	return priorities, lossCounts(r.customers)
}
