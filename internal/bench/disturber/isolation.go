package disturber

// Isolation is how far one entry host is cut off by itself.
type Isolation int

// Isolations.
const (
	// NotIsolated is not at all.
	NotIsolated Isolation = iota
	// IsolatedExceptCallers is from everything except its callers, who go on sending to it.
	IsolatedExceptCallers
	// FullyIsolated is from everything, as the others see a host that is paused: what it
	// was sent over TCP arrives late.
	FullyIsolated
)

// Isolate cuts one entry host off, or joins it again. Nothing passes meanwhile, as
// with Cut.
func (n *Network) Isolate(host string, i Isolation) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.isolated[host] = i
	n.tell()
}

// apart reports whether a is an entry host that is cut off from b; the caller holds the mutex.
func (n *Network) apart(a, b Place) bool {
	if a.EntryHost == "" || a.EntryHost == b.EntryHost {
		return false
	}
	switch n.isolated[a.EntryHost] {
	case FullyIsolated:
		return true
	case IsolatedExceptCallers:
		return !b.outside()
	default:
		return false
	}
}

// outside reports whether the place is that of callers, who are in no region.
func (p Place) outside() bool {
	return p.Region == ""
}
