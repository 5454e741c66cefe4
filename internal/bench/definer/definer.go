// Package definer defines the deployments, loads, scenarios and policies of experiments as plain data.
package definer

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/bench/disturber"
)

// Deployment describes the availability zones, latencies, database groups and entry hosts of one deployment.
type Deployment struct {
	Name string
	// Places are the availability zones, in the order in which they hold the first primaries of
	// Groups.
	Places []disturber.Place
	// StoreRegion is the region of the platform's store.
	StoreRegion string
	// ZoneLatency, RegionLatency and CallerLatency are the one-way latencies between zones of a
	// region, between regions, and between callers and entry hosts.
	ZoneLatency, RegionLatency, CallerLatency time.Duration
	// LinkBytesPerSecond is the bandwidth between two regions, in each direction.
	LinkBytesPerSecond int64
	// Service is the service of all groups.
	Service string
	// Groups are the names of the database groups. Each has a backend server in every place.
	Groups []string
	// Slots, Connections and ConnectTime apply to each backend server. ConnectTime is how long it
	// takes to open a connection.
	Slots, Connections int
	ConnectTime        time.Duration
	// HostsPerPlace is the number of entry hosts in each availability zone.
	HostsPerPlace int
	// MaximumHosts bounds the number of entry hosts; zero is no bound.
	MaximumHosts int
}

// bytesPerMegabit is the number of bytes in a million bits.
const bytesPerMegabit = 1_000_000 / 8

// Deployments returns the two reference deployments.
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
			LinkBytesPerSecond: 30 * bytesPerMegabit,
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
			LinkBytesPerSecond: 30 * bytesPerMegabit,
			Service:            "helpline-records",
			Groups:             []string{"records-1", "records-2", "records-3"},
			Slots:              3,
			Connections:        40,
			ConnectTime:        30 * time.Millisecond,
			HostsPerPlace:      2,
		},
	}
}

// CallerZone is the availability zone of callers, which have CallerLatency to every entry host.
const CallerZone = "callers"

// CallersPlace returns the place of callers, which has no region.
func CallersPlace() disturber.Place {
	return disturber.Place{AvailabilityZone: CallerZone}
}

// Latency returns the one-way latency of a path.
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

// Capacity returns how many statements per second the servers of one group can execute together
// if each statement takes the given service time.
func (d *Deployment) Capacity(service time.Duration) float64 {
	return float64(d.Slots*len(d.Places)) / service.Seconds()
}

// Load describes the requests of callers.
type Load struct {
	// RequestsPerSecond is the request rate over all groups; zero is no limit.
	RequestsPerSecond float64
	// Callers is the number of concurrent sessions.
	Callers int
	// RequestsPerSession is the number of requests that a session sends before it ends.
	RequestsPerSession int
	// CancelShare is the share of requests that are cancelled, after a random delay of up to
	// MaximumCancelDelay.
	CancelShare        float64
	MaximumCancelDelay time.Duration
	// DisconnectShare is the share of cancellations that only close the connection.
	DisconnectShare float64
	// SwitchHostShare is the share of requests before which the session moves to another entry host.
	SwitchHostShare float64
	// Notes to Reports are the relative weights of the kinds of requests that checker.Kind defines.
	Notes, Saves, Bookings, Reads, Reviews, Reports int
	// MaximumReviewAge bounds how stale the answer of a review may be. The routing rule for
	// ReviewTag sets it.
	MaximumReviewAge time.Duration
	// ServiceTime is how long a statement occupies its slot.
	ServiceTime time.Duration
}

// ReviewTag is the tag of reviews in the leading SQL comment.
const ReviewTag = "review"

// StandardLoad returns a load of many short sessions that read far more than they write and cancel
// most of their requests.
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
