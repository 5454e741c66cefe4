package executor

import (
	"strconv"
	"time"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// Hold identifies what operators hold back.
type Hold struct {
	Kind HoldKind
	// Name is the customer's or the route's, empty with HoldNone.
	Name string
}

// HoldKind is the kind of what operators hold back.
type HoldKind uint8

// Kinds of what operators hold back.
const (
	HoldNone HoldKind = iota
	HoldCustomer
	HoldRoute
)

// String returns the name of the kind in answers, logs and metrics, empty for HoldNone.
func (k HoldKind) String() string {
	return [...]string{HoldNone: "", HoldCustomer: "customer", HoldRoute: "route"}[k]
}

// heldRetryAfter is the time after which a held caller is told to retry. Operators release by a
// configuration, which is in force within seconds, and a retry costs a host no more than a refusal.
const heldRetryAfter = time.Second

// holdOf returns what the operators hold back of the customer's requests on the route. If they hold back
// both, it returns the customer.
func holdOf(o *declarer.Operations, route, customer string) Hold {
	switch {
	case customer != "" && o.HeldCustomers[customer]:
		return Hold{Kind: HoldCustomer, Name: customer}
	case o.HeldRoutes[route]:
		return Hold{Kind: HoldRoute, Name: route}
	}
	return Hold{}
}

// refuseHeld answers a statement that the operators hold back. It isn't counted against the customer's
// limit, as it asks neither the limiter nor a server.
func (s *Session) refuseHeld(x declarer.Statement, m admission) error {
	r := m.hold.Kind.String() + " " + m.hold.Name + " is held by the operator"
	s.Reporter.Statement(&Report{
		Group: m.route.Group, Database: s.database, Customer: m.customer, Statement: x.ID, Verb: x.Verb,
		Code: declarer.CodeBusy, Reason: r, Held: m.hold, Importance: m.importance, Ranked: m.ranked, Version: s.version(),
	})
	return s.fail(declarer.CodeBusy, "not run: "+r+", retry after "+strconv.FormatInt(heldRetryAfter.Milliseconds(), 10)+" ms")
}
