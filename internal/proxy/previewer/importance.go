package previewer

import (
	"cmp"
	"slices"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// level is an importance, or absent.
type level int

// absent stands for a route or customer that a configuration lacks.
const absent level = -1

// value returns the importance, nil for absent.
func (v level) value() *admitter.Importance {
	if v == absent {
		return nil
	}
	i := admitter.Importance(v)
	return &i
}

// importanceKey identifies the customers of a route whose importance changes in the same way.
type importanceKey struct{ before, after level }

// compareImportance returns the changes of importance, by route. Customers whose importance changes in the
// same way are listed together.
func compareImportance(running, next *declarer.Configuration) []ImportanceChange {
	var l []ImportanceChange
	for _, d := range unionOfKeys(running.Routes, next.Routes) {
		l = append(l, compareRoute(running, next, d)...)
	}
	return l
}

func compareRoute(running, next *declarer.Configuration, database string) []ImportanceChange {
	callers := callersOf(running, next, database)
	groups := make(map[importanceKey][]string)
	for _, n := range callers {
		k := importanceKey{importanceOf(running, database, n), importanceOf(next, database, n)}
		if k.before != k.after {
			groups[k] = append(groups[k], n)
		}
	}
	var l []ImportanceChange
	for k, customers := range groups {
		l = append(l, ImportanceChange{
			Route: routeName(running, next, database), Before: k.before.value(), After: k.after.value(),
			Customers: customers, All: len(customers) == len(callers),
		})
	}
	slices.SortFunc(l, func(a, b ImportanceChange) int { return slices.Compare(a.Customers, b.Customers) })
	return l
}

// callersOf returns the customers of both configurations, and the empty name if callers of the database may
// have no customer.
func callersOf(running, next *declarer.Configuration, database string) []string {
	l := unionOfKeys(running.Customers, next.Customers)
	if servesWithoutCustomer(running, database) || servesWithoutCustomer(next, database) {
		l = append([]string{""}, l...)
	}
	return l
}

// importanceOf returns the importance of a customer's requests to a database under the configuration.
func importanceOf(c *declarer.Configuration, database, customer string) level {
	r, ok := c.Routes[database]
	if !ok || customer != "" && !isCustomer(c, customer) || customer == "" && !servesWithoutCustomer(c, database) {
		return absent
	}
	return level(c.Importance(r, customer))
}

// routeName returns the name of the database's route, or the database if the route has none.
func routeName(running, next *declarer.Configuration, database string) string {
	return cmp.Or(next.Routes[database].Name, running.Routes[database].Name, database)
}
