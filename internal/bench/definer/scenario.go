package definer

import "time"

// Fault is a fault that is injected in the middle of a scenario.
type Fault string

// Faults. Each is injected after a third of the run and removed after two thirds, except for those
// that happen once.
const (
	// NoFault injects nothing.
	NoFault Fault = ""
	// ReplicaLag keeps one replica of each group 30 s behind.
	ReplicaLag Fault = "replica-lag"
	// PrimaryCrash ends the primary of the first group, which restarts later.
	PrimaryCrash Fault = "primary-crash"
	// PrimaryIsolated cuts the primary of the first group off from its peers and most entry hosts;
	// those in its own zone still reach it.
	PrimaryIsolated Fault = "primary-isolated"
	// PrimaryPaused pauses the primary of the first group.
	PrimaryPaused Fault = "primary-paused"
	// PlatformDown stops the platform's object service.
	PlatformDown Fault = "platform-down"
	// ZoneCut cuts one availability zone off from all others and the platform.
	ZoneCut Fault = "zone-cut"
	// RegionCut partitions the two regions from each other.
	RegionCut Fault = "region-cut"
	// SilentConnections permanently silences all open connections between entry hosts and backend
	// servers: they stay open and deliver nothing.
	SilentConnections Fault = "silent-connections"
	// EntryHostKilled ends one entry host without warning.
	EntryHostKilled Fault = "entry-host-killed"
	// RollingRestart performs a planned stop of all entry hosts, one after the other.
	RollingRestart Fault = "rolling-restart"
	// Leaving marks the primary of the first group as leaving.
	Leaving Fault = "leaving"
	// OperatorsRace makes operators apply competing configurations until it is removed.
	OperatorsRace Fault = "operators-race"
	// EntryHostCutOff cuts one entry host off from everything except its callers.
	EntryHostCutOff Fault = "entry-host-cut-off"
	// EntryHostSilent cuts one entry host off from everything including its callers, as a pause of
	// the host does.
	EntryHostSilent Fault = "entry-host-silent"
	// PlatformSlow delays each call of the object service.
	PlatformSlow Fault = "platform-slow"
	// PlatformFlapping repeatedly stops and restarts the object service.
	PlatformFlapping Fault = "platform-flapping"
)

// Scenario is one kind of run.
type Scenario struct {
	Name string
	// Description is the line that --list prints.
	Description string
	// Faults are injected in this order and removed in the same order.
	Faults []Fault
	// Utilisation is the load as a fraction of the slots' capacity; zero is defaultUtilisation.
	Utilisation float64
	// FollowConfiguration makes entry hosts follow the configuration in the platform; in other
	// scenarios the configuration is fixed.
	FollowConfiguration bool
	// Mixed makes DrawFaults pick two faults by the seed.
	Mixed bool
	// RaceWithFault makes DrawFaults pick a fault by the seed, with OperatorsRace at the same time.
	RaceWithFault bool
	// Overhead compares direct point reads with point reads through one entry host.
	Overhead bool
}

// defaultUtilisation is the load of scenarios that do not set one.
const defaultUtilisation = 0.4

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "overhead", Description: "point reads directly and through one entry host, without latency", Overhead: true},
		{Name: "steady", Description: "half of the slots' capacity, nothing goes wrong", Utilisation: 0.5},
		{Name: "overload", Description: "130% of the slots' capacity", Utilisation: 1.3},
		{Name: "replica-lag", Description: "one replica of each group stays 30 s behind", Faults: []Fault{ReplicaLag}},
		{Name: "primary-crash", Description: "a primary ends and comes back", Faults: []Fault{PrimaryCrash}},
		{Name: "primary-isolated", Description: "a primary is cut off from its peers and still accepts callers of its zone", Faults: []Fault{PrimaryIsolated}},
		{Name: "primary-paused", Description: "a primary freezes and goes on", Faults: []Fault{PrimaryPaused}},
		{Name: "platform-down", Description: "the object service is down, and a primary ends meanwhile", Faults: []Fault{PlatformDown, PrimaryCrash}},
		{Name: "zone-cut", Description: "an availability zone hears nothing of the others", Faults: []Fault{ZoneCut}},
		{Name: "region-cut", Description: "two regions hear nothing of each other", Faults: []Fault{RegionCut}},
		{Name: "silent-connections", Description: "open connections to backend servers go silent, new ones work", Faults: []Fault{SilentConnections}},
		{Name: "entry-host-killed", Description: "an entry host ends without warning", Faults: []Fault{EntryHostKilled}},
		{Name: "rolling-restart", Description: "all entry hosts stop as planned, one after the other", Faults: []Fault{RollingRestart}},
		{Name: "leaving", Description: "a primary is marked as leaving", Faults: []Fault{Leaving}},
		{Name: "apply-race", Description: "operators apply competing changes, answers are lost, one operator ends midway", Faults: []Fault{OperatorsRace}, FollowConfiguration: true},
		{Name: "apply-race-faults", Description: "as apply-race, during another fault drawn by the seed; takes 48 s, as leases run out", RaceWithFault: true, FollowConfiguration: true},
		{Name: "mixed", Description: "two faults at once, drawn by the seed", Mixed: true},
	}
}

// mixedFaults are the faults from which a scenario with Mixed draws.
var mixedFaults = []Fault{
	ReplicaLag, PrimaryCrash, PrimaryIsolated, PrimaryPaused, PlatformDown, ZoneCut, RegionCut, SilentConnections,
	EntryHostKilled,
}

// raceFaults are the faults from which a scenario with RaceWithFault draws.
var raceFaults = []Fault{
	EntryHostCutOff, EntryHostKilled, EntryHostSilent, ZoneCut, RegionCut, PlatformSlow, PlatformFlapping, PrimaryCrash,
}

// RaceFaultCount returns the number of faults from which a scenario with RaceWithFault draws. Seeds
// that differ by a multiple of it draw the same fault.
func RaceFaultCount() uint64 {
	return uint64(len(raceFaults))
}

// DrawFaults sets the faults by the seed if Mixed or RaceWithFault is set.
func (s *Scenario) DrawFaults(seed uint64) {
	if s.RaceWithFault {
		// The race is injected last and therefore removed last, so that operators continue while
		// the other fault ends.
		s.Faults = []Fault{raceFaults[seed%RaceFaultCount()], OperatorsRace}
	}
	if s.Mixed {
		s.drawPair(seed)
	}
}

// drawPair sets two different faults by the seed.
func (s *Scenario) drawPair(seed uint64) {
	n := uint64(len(mixedFaults))
	a := seed % n
	// The second index differs from the first, and consecutive seeds go through all pairs.
	b := (a + 1 + seed/n%(n-1)) % n
	s.Faults = []Fault{mixedFaults[a], mixedFaults[b]}
}

// percent converts fractions into percent.
const percent = 100

// SetLoadPercent sets the scenario's load to p percent of the slots' capacity.
func (s *Scenario) SetLoadPercent(p float64) {
	s.Utilisation = p / percent
}

// LoadPercent returns the scenario's load in percent of the slots' capacity.
func (s *Scenario) LoadPercent() float64 {
	return percent * s.utilisation()
}

// utilisation returns the load as a fraction of the slots' capacity.
func (s *Scenario) utilisation() float64 {
	if s.Utilisation == 0 {
		return defaultUtilisation
	}
	return s.Utilisation
}

// Load returns the scenario's load on a deployment.
func (s *Scenario) Load(d *Deployment) Load {
	l := StandardLoad()
	u := s.utilisation()
	// requestTime is an upper estimate of how long a request occupies a caller.
	const requestTime = 150 * time.Millisecond
	l.RequestsPerSecond = u * d.Capacity(l.ServiceTime) * float64(len(d.Groups)) / l.StatementsPerRequest()
	l.Callers = max(l.Callers, int(l.RequestsPerSecond*requestTime.Seconds()))
	return l
}

// StatementsPerRequest returns the average number of statements per request that occupy a slot.
func (l *Load) StatementsPerRequest() float64 {
	// A booking has three statements between BEGIN and COMMIT.
	const bookingStatements = 3
	n := l.Notes + l.Saves + l.Bookings + l.Reads + l.Reviews + l.Reports
	return float64(n+(bookingStatements-1)*l.Bookings) / float64(n)
}
