// Package definer holds the deployments, scenarios and policies as plain data.
package definer

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/bench/disturber"
)

// Deployment is one user's places and services, as the brief gives them.
type Deployment struct {
	Name string
	// Places are the availability zones, in order of the groups' first primaries.
	Places []disturber.Place
	// StoreRegion is where the platform's store stands.
	StoreRegion string
	// ZoneLatency, RegionLatency and CallerLatency are one-way.
	ZoneLatency, RegionLatency, CallerLatency time.Duration
	// LinkBytesPerSecond is what two regions share, each way.
	LinkBytesPerSecond int64
	Service            string
	// Groups are the database groups; each has a backend server in every place.
	Groups []string
	// Slots, Connections and ConnectTime are those of each backend server.
	Slots, Connections int
	ConnectTime        time.Duration
	// HostsPerPlace is the number of entry hosts in each availability zone.
	HostsPerPlace int
	// MaximumHosts bounds the number of entry hosts, no bound if zero.
	MaximumHosts int
}

// megabit is a million bits in bytes.
const megabit = 1_000_000 / 8

// Deployments returns the two deployments of the brief.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "kalkul-db",
			Places: []disturber.Place{
				{AvailabilityZone: "ost-wien", Region: "ost"},
				{AvailabilityZone: "ost-graz", Region: "ost"},
				{AvailabilityZone: "west-ibk", Region: "west"},
			},
			StoreRegion:        "ost",
			ZoneLatency:        time.Millisecond,
			RegionLatency:      8 * time.Millisecond,
			CallerLatency:      time.Millisecond,
			LinkBytesPerSecond: 30 * megabit,
			Service:            "kalkul-db",
			Groups:             []string{"kalkul-1", "kalkul-2", "kalkul-3"},
			Slots:              2,
			Connections:        16,
			ConnectTime:        10 * time.Millisecond,
			HostsPerPlace:      2,
		},
		{
			Name: "helpline-records",
			Places: []disturber.Place{
				{AvailabilityZone: "warszawa-a", Region: "mazowsze"},
				{AvailabilityZone: "warszawa-b", Region: "mazowsze"},
				{AvailabilityZone: "krakow-a", Region: "malopolska"},
			},
			StoreRegion:        "mazowsze",
			ZoneLatency:        1500 * time.Microsecond,
			RegionLatency:      8 * time.Millisecond,
			CallerLatency:      3 * time.Millisecond,
			LinkBytesPerSecond: 30 * megabit,
			Service:            "helpline-records",
			Groups:             []string{"records-1", "records-2", "records-3"},
			Slots:              3,
			Connections:        40,
			ConnectTime:        30 * time.Millisecond,
			HostsPerPlace:      2,
		},
	}
}

// CallerZone is the zone name of callers, who stand at CallerLatency from every entry host.
const CallerZone = "callers"

// CallersPlace is where callers stand.
func CallersPlace() disturber.Place {
	return disturber.Place{AvailabilityZone: CallerZone}
}

// Latency returns the one-way latency between two places.
func (d *Deployment) Latency(p disturber.Path) time.Duration {
	a, b := p.From, p.To
	switch {
	case a.AvailabilityZone == CallerZone || b.AvailabilityZone == CallerZone:
		return d.CallerLatency
	case a.AvailabilityZone == b.AvailabilityZone:
		return 0
	case a.Region == b.Region:
		return d.ZoneLatency
	default:
		return d.RegionLatency
	}
}

// Capacity is how many statements a second one group's servers can work on
// together, when each takes the given time.
func (d *Deployment) Capacity(service time.Duration) float64 {
	return float64(d.Slots*len(d.Places)) / service.Seconds()
}

// Load is what callers do.
type Load struct {
	// RequestsPerSecond is the number of requests a second over all groups, no limit if zero.
	RequestsPerSecond float64
	// Callers is how many sessions are open at a time.
	Callers int
	// RequestsPerSession is how many requests a session makes before it ends.
	RequestsPerSession int
	// CancelShare of the requests are cancelled, at a random moment up to CancelWithin.
	CancelShare        float64
	MaximumCancelDelay time.Duration
	// DisconnectShare of the cancels just drop the connection.
	DisconnectShare float64
	// SwitchHostShare of the requests are preceded by a move to another entry host.
	SwitchHostShare float64
	// Mix weighs the kinds of request, in the order of checker's kinds.
	Notes, Saves, Bookings, Reads, Reviews, Reports int
	// MaximumReviewAge is how stale a review may be, by the routing rule for its tag.
	MaximumReviewAge time.Duration
	// ServiceTime is what a statement takes in its slot.
	ServiceTime time.Duration
}

// ReviewTag is the tag of reviews in the leading comment.
const ReviewTag = "review"

// StandardLoad is many short sessions that read far more than they write and
// cancel most of their requests.
func StandardLoad() Load {
	return Load{
		Callers:            48,
		RequestsPerSession: 8,
		CancelShare:        0.8,
		MaximumCancelDelay: 50 * time.Millisecond,
		DisconnectShare:    0.05,
		SwitchHostShare:    0.1,
		Notes:              6,
		Saves:              8,
		Bookings:           4,
		Reads:              30,
		Reviews:            45,
		Reports:            7,
		MaximumReviewAge:   5 * time.Second,
		ServiceTime:        10 * time.Millisecond,
	}
}
