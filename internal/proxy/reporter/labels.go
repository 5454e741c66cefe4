package reporter

import "sync"

const (
	// maximumNames bounds the customers, and the routes, with a metric of their own.
	maximumNames = 200
	// otherNames is the label of the others.
	otherNames = "other"
)

// nameLabels bounds the labels of customers or routes in metrics.
type nameLabels struct {
	mu    sync.Mutex
	known map[string]struct{}
}

// label returns the name, or otherNames if enough others have a label.
func (l *nameLabels) label(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.known[name]; ok {
		return name
	}
	if len(l.known) == maximumNames {
		return otherNames
	}
	if l.known == nil {
		l.known = make(map[string]struct{})
	}
	l.known[name] = struct{}{}
	return name
}
