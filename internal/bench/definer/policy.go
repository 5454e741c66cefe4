package definer

// Policy is a way to set up the system under test: cuminwick, or a baseline.
type Policy struct {
	Name string
	// Description is one line for --list.
	Description string
	// PrimaryReads sends all reads to primaries.
	PrimaryReads bool
	// SplitPools lets each entry host open its own connections to every
	// backend server, as if it knew of no other.
	SplitPools bool
	// StickySessions keeps what a session has seen at its entry host alone: reads
	// may be of any age otherwise, and nothing is known of a session that moves.
	StickySessions bool
	// StoreLease promotes a server only once the primary's lease in the
	// platform's store has lapsed.
	StoreLease bool
}

// DefaultPolicy is cuminwick as it is.
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
