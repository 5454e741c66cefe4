package admitter

// Importance orders requests that compete for the same server: lower values come first. It combines the
// priority of the request's route with that of its customer, so that the route decides first. Requests of
// a deployment that ranks nothing all have importance zero.
type Importance uint8

const (
	// MaximumPriority is the lowest priority of a route or customer. Zero is the highest.
	MaximumPriority = 7
	// DefaultPriority is that of a route or customer that declares none.
	DefaultPriority = 1
	// LevelCount is the number of levels, one for each priority of a route.
	LevelCount = MaximumPriority + 1
)

// RankedImportance returns the importance of a request of a route and a customer with these priorities.
func RankedImportance(route, customer uint8) Importance {
	return Importance(min(route, MaximumPriority)*LevelCount + min(customer, MaximumPriority))
}

// Level returns the priority of the request's route.
func (i Importance) Level() uint8 { return min(uint8(i)/LevelCount, MaximumPriority) }
