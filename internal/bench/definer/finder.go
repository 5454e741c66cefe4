package definer

// Named is what can be asked for by name.
type Named interface {
	Label() string
}

// Label implements Named.
func (d Deployment) Label() string { return d.Name }

// Label implements Named.
func (s Scenario) Label() string { return s.Name }

// Label implements Named.
func (p Policy) Label() string { return p.Name }

// Find returns the element so named.
func Find[T Named](l []T, name string) (T, bool) {
	for _, e := range l {
		if e.Label() == name {
			return e, true
		}
	}
	var none T
	return none, false
}
