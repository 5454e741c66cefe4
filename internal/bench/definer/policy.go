package definer

// Policy is a variant of the system under test: cuminwick, or a baseline to compare it with.
type Policy struct {
	Name string
	// Description is the line that --list prints.
	Description string
	// PrimaryReads routes all reads to primaries.
	PrimaryReads bool
	// SplitPools makes each entry host open its own connections to every backend server, as if
	// there were no other entry hosts.
	SplitPools bool
	// StickySessions keeps the mark of what a session has read or written only at its entry host.
	// Reads may otherwise be of any age, and a session that moves to another entry host starts there with
	// an empty mark.
	StickySessions bool
	// StoreLease promotes a server only once the primary's lease in the platform's store has expired.
	StoreLease bool
}

// DefaultPolicy is the name of the policy without changes to cuminwick.
const DefaultPolicy = "cuminwick"

// Policies returns all policies.
func Policies() []Policy {
	return []Policy{
		{Name: DefaultPolicy, Description: "cuminwick as it is"},
		{Name: "primary-reads", Description: "baseline: all reads go to the primary", PrimaryReads: true},
		{Name: "split-pools", Description: "baseline: each entry host has its own connections", SplitPools: true},
		{Name: "sticky-sessions", Description: "baseline: only a session's own entry host knows what it has seen", StickySessions: true},
		{Name: "store-lease", Description: "baseline: a server is promoted when a lease of 10 s in the platform's store has lapsed", StoreLease: true},
	}
}
