package disturber

// Isolation is how far a single entry host is cut off.
type Isolation int

// Isolations.
const (
	// NotIsolated cuts the host off from nothing.
	NotIsolated Isolation = iota
	// IsolatedExceptCallers cuts the host off from everything except its callers, who continue to
	// send to it.
	IsolatedExceptCallers
	// FullyIsolated cuts the host off from everything. To the others it looks like a paused host:
	// data sent to it over TCP arrives late.
	FullyIsolated
)

// Isolate sets how far one entry host is cut off. Nothing passes on its cut paths, as with Cut.
func (n *Network) Isolate(host string, i Isolation) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.isolations[host] = i
	n.notifyChange()
}

// isolatedFrom reports whether a is an entry host that is cut off from b. The mutex must be held.
func (n *Network) isolatedFrom(a, b Place) bool {
	if a.EntryHost == "" || a.EntryHost == b.EntryHost {
		return false
	}
	switch n.isolations[a.EntryHost] {
	case FullyIsolated:
		return true
	case IsolatedExceptCallers:
		return !b.isCaller()
	default:
		return false
	}
}

// isCaller reports whether the place is that of callers, which has no region.
func (p Place) isCaller() bool {
	return p.Region == ""
}
