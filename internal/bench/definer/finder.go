package definer

// Named is an element that can be looked up by name.
type Named interface {
	// Label returns the name of the element.
	Label() string
}

// Label implements Named.
func (d Deployment) Label() string { return d.Name }

// Label implements Named.
func (s Scenario) Label() string { return s.Name }

// Label implements Named.
func (p Policy) Label() string { return p.Name }

// Find returns the element with the given name, false if there is none.
func Find[T Named](l []T, name string) (T, bool) {
	for _, e := range l {
		if e.Label() == name {
			return e, true
		}
	}
	var zero T
	return zero, false
}
