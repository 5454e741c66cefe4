package reporter

import "sync"

const (
	// maximumCustomers bounds the customers with a metric of their own.
	maximumCustomers = 200
	// otherCustomers is the label of the others.
	otherCustomers = "other"
)

// customerLabels bounds the labels of customers in metrics.
type customerLabels struct {
	mu    sync.Mutex
	known map[string]struct{}
}

// label returns the customer's name, or otherCustomers if enough others have a label.
func (l *customerLabels) label(customer string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.known[customer]; ok {
		return customer
	}
	if len(l.known) == maximumCustomers {
		return otherCustomers
	}
	if l.known == nil {
		l.known = make(map[string]struct{})
	}
	l.known[customer] = struct{}{}
	return customer
}
