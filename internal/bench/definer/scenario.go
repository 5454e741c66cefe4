package definer

import "time"

// Fault is what goes wrong in the middle of a scenario.
type Fault string

// Faults. Each is set at a third of the run and taken back at two thirds,
// except for those that happen once.
const (
	// NoFault leaves everything as it is.
	NoFault Fault = ""
	// ReplicaLag holds one replica of each group 30 s behind.
	ReplicaLag Fault = "replica-lag"
	// PrimaryCrash ends the first group's primary, which comes back later.
	PrimaryCrash Fault = "primary-crash"
	// PrimaryIsolated cuts the first group's primary off from its peers and
	// most entry hosts; those in its own zone still reach it.
	PrimaryIsolated Fault = "primary-isolated"
	// PrimaryPaused freezes the first group's primary.
	PrimaryPaused Fault = "primary-paused"
	// PlatformDown stops the object service.
	PlatformDown Fault = "platform-down"
	// ZoneCut parts one availability zone from all others and the platform.
	ZoneCut Fault = "zone-cut"
	// RegionCut parts the two regions.
	RegionCut Fault = "region-cut"
	// SilentConnections makes all open connections between entry hosts and
	// backend servers silent for good.
	SilentConnections Fault = "silent-connections"
	// EntryHostKilled ends one entry host without warning.
	EntryHostKilled Fault = "entry-host-killed"
	// RollingRestart stops all entry hosts as planned, one after the other.
	RollingRestart Fault = "rolling-restart"
	// Leaving marks the first group's primary as leaving.
	Leaving Fault = "leaving"
	// OperatorsRace has operators apply competing changes until it is taken back.
	OperatorsRace Fault = "operators-race"
	// EntryHostCutOff cuts one entry host off from all but its callers.
	EntryHostCutOff Fault = "entry-host-cut-off"
	// EntryHostSilent cuts one entry host off from all, callers included, as a
	// pause does.
	EntryHostSilent Fault = "entry-host-silent"
	// PlatformSlow has each call of the object service take longer.
	PlatformSlow Fault = "platform-slow"
	// PlatformFlapping stops the object service again and again.
	PlatformFlapping Fault = "platform-flapping"
)

// Scenario is one named run.
type Scenario struct {
	Name string
	// Description is one line for --list.
	Description string
	Faults      []Fault
	// Utilisation is the load against the slots' capacity, 0 for none given.
	Utilisation float64
	// FollowConfiguration has entry hosts follow the configuration in the platform; in other
	// scenarios it is fixed.
	FollowConfiguration bool
	// Mixed draws two faults by the seed.
	Mixed bool
	// RaceWithFault draws a fault by the seed and has operators race meanwhile.
	RaceWithFault bool
	// Overhead compares point reads directly with those through one entry host.
	Overhead bool
}

// defaultUtilisation is the load where a scenario is about something else.
const defaultUtilisation = 0.4

// Scenarios returns all scenarios that can be run.
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

// mixable are the faults that mixed draws from.
var mixable = []Fault{
	ReplicaLag, PrimaryCrash, PrimaryIsolated, PrimaryPaused, PlatformDown, ZoneCut, RegionCut, SilentConnections,
	EntryHostKilled,
}

// raceable are the faults that a race of operators is run during.
var raceable = []Fault{
	EntryHostCutOff, EntryHostKilled, EntryHostSilent, ZoneCut, RegionCut, PlatformSlow, PlatformFlapping, PrimaryCrash,
}

// RaceFaultCount is how many faults a race is run during. Seeds that differ by a multiple
// of it draw the same one.
func RaceFaultCount() uint64 {
	return uint64(len(raceable))
}

// DrawFaults picks the faults of a mixed or raced scenario by the seed.
func (s *Scenario) DrawFaults(seed uint64) {
	if s.RaceWithFault {
		// The race is set last and so taken back last: operators go on while the
		// other fault ends.
		s.Faults = []Fault{raceable[seed%RaceFaultCount()], OperatorsRace}
	}
	if s.Mixed {
		s.drawPair(seed)
	}
}

func (s *Scenario) drawPair(seed uint64) {
	n := uint64(len(mixable))
	a := seed % n
	// The second index differs from the first, and all pairs come up in turn.
	b := (a + 1 + seed/n%(n-1)) % n
	s.Faults = []Fault{mixable[a], mixable[b]}
}

// percent turns shares into percent.
const percent = 100

// SetLoadPercent makes p percent of the slots' capacity the scenario's load.
func (s *Scenario) SetLoadPercent(p float64) {
	s.Utilisation = p / percent
}

// LoadPercent returns the scenario's load in percent of the slots' capacity.
func (s *Scenario) LoadPercent() float64 {
	return percent * s.utilisation()
}

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
	// busy is how long a request keeps a caller busy, generously.
	const busy = 150 * time.Millisecond
	l.RequestsPerSecond = u * d.Capacity(l.ServiceTime) * float64(len(d.Groups)) / l.StatementsPerRequest()
	l.Callers = max(l.Callers, int(l.RequestsPerSecond*busy.Seconds()))
	return l
}

// StatementsPerRequest is how many statements that take a slot a request has on average.
func (l *Load) StatementsPerRequest() float64 {
	// A booking has three statements between BEGIN and COMMIT.
	const booking = 3
	n := l.Notes + l.Saves + l.Bookings + l.Reads + l.Reviews + l.Reports
	return float64(n+(booking-1)*l.Bookings) / float64(n)
}
