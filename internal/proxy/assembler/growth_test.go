package assembler

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/cuminwick/cuminwick/internal/proxy/blackboard"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/reporter"
	"github.com/cuminwick/cuminwick/internal/proxy/runner"
	"github.com/cuminwick/cuminwick/internal/soak/storekeeper"
	"github.com/cuminwick/cuminwick/platform"
)

const (
	storeAddress = "store:80"
	// scale is the factor by which links are slower and configurations shorter than in a real
	// deployment. Times stay the same, and less data has to be decoded.
	scale = 8
	// hostRate and crossingRate are those of a small host and of a link between two regions, in
	// bytes per second, before scaling 10 and 60 Mbit/s.
	hostRate     = 10e6 / 8 / scale
	crossingRate = 60e6 / 8 / scale
	storeRate    = 1e9 / 8 / scale
)

// fleet is a deployment of entry hosts that follow the configuration, in virtual time. The store
// is in region "near".
type fleet struct {
	network *network
	store   *storekeeper.Store
	server  *http.Server
	hosts   []*member
	random  *rand.Rand
	routes  []string
	version uint64
	cancel  context.CancelFunc
}

// member is one host of the fleet.
type member struct {
	host    *runner.Host
	machine *machine
	fleet   *fleet
	feeder  *feeder
}

// startFleet starts a zone of five hosts near the store, and the given number of zones, with the
// given number of hosts each, in the other region.
func startFleet(t *testing.T, zones, hosts int, seed uint64) *fleet {
	t.Helper()
	f := &fleet{network: newNetwork(crossingRate), store: &storekeeper.Store{}, random: rand.New(rand.NewPCG(seed, 0))}
	m := f.network.add(storeAddress, "near", storeRate)
	f.server = &http.Server{Handler: storekeeper.Handler{Store: f.store}}
	go (&storeServer{server: f.server, listener: m}).run()
	f.grow(60)
	ctx, cancel := context.WithCancel(t.Context())
	f.cancel = cancel
	regions := map[string]string{"near": "near"}
	for i := range zones {
		regions[fmt.Sprint("far-", i)] = "far"
	}
	for i := range 5 {
		f.start(ctx, "near", "near", fmt.Sprint("near-", i), regions)
	}
	for i := range zones * hosts {
		z := fmt.Sprint("far-", i%zones)
		f.start(ctx, z, "far", fmt.Sprintf("%s-%d", z, i/zones), regions)
	}
	return f
}

// stop ends the fleet.
func (f *fleet) stop() {
	f.cancel()
	f.network.close()
	f.server.Close()
	time.Sleep(time.Minute) // until data in flight has arrived
}

// storeServer serves the store.
type storeServer struct {
	server   *http.Server
	listener net.Listener
}

func (s *storeServer) run() { _ = s.server.Serve(s.listener) }

// start starts one host.
func (f *fleet) start(ctx context.Context, zone, region, name string, regions map[string]string) {
	m := &member{fleet: f, machine: f.network.add(name, region, hostRate)}
	store := platform.NewStore(storeAddress)
	store.Dial = m.machine.Dial
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	feeds := &platform.FeedClient{Dial: m.machine.Dial}
	m.feeder = &feeder{store: store, remote: feeds, servers: make(map[string]*platform.FeedServer), now: now}
	feeds.LastValue = m.feeder.lastValue
	m.host = &runner.Host{
		Name: name, FirstStart: true, Registrar: &platform.Registrar{Store: store},
		Board:   &blackboard.Board{Zone: zone, Region: region, Regions: regions, Now: now},
		Self:    declarer.Host{Name: name, Address: name, AvailabilityZone: zone},
		Bounds:  runner.Bounds{ConfigurationLimit: 5 * time.Second, DrainLimit: 10 * time.Second},
		Counter: reporter.NewMetrics(reporter.Gauges{}),
		Log:     &log.Logger{Handler: discard.New()},
	}
	m.feeder.attach(m.host, func(error) {})
	f.hosts = append(f.hosts, m)
	go m.run(ctx)
	go m.acceptFeeds()
}

func (m *member) run(ctx context.Context) { m.host.Follow(ctx) }

// acceptFeeds serves hosts that read through this one.
func (m *member) acceptFeeds() {
	for {
		c, err := m.machine.Accept()
		if err != nil {
			return
		}
		go (&feedService{member: m, conn: c}).run()
	}
}

// feedService serves one of them.
type feedService struct {
	member *member
	conn   net.Conn
}

func (s *feedService) run() {
	defer s.conn.Close()
	kind, _, err := platform.ReadHostRequest(s.conn, time.Now().Add(time.Second))
	if err == nil {
		s.member.feeder.serve(s.conn, kind)
	}
}

// routeLength is the length of a route in the configuration, in bytes.
const routeLength = 190

// route returns a route that compresses to about a tenth, as real ones do.
func (f *fleet) route(i int) string {
	return fmt.Sprintf(`{"name":"route-%d","host":"database-%d","route_type":"primary","timeout_ms":800,"backend":"group","note":"%08x%0*d"}`, i, i, f.random.Uint32(), routeLength-118, 0)
}

// grow changes the configuration to one with n more routes, before scaling, and returns its
// version.
func (f *fleet) grow(n int) uint64 {
	for range max(1, n/scale) {
		f.routes = append(f.routes, f.route(len(f.routes)))
	}
	f.version += 1 + f.random.Uint64N(3)
	spec := []byte(fmt.Sprintf(`{"version":%d,"backends":[],"limits":{"idle_tx_ms":2000},"routes":[`, f.version))
	for i, r := range f.routes {
		if i > 0 {
			spec = append(spec, ',')
		}
		spec = append(spec, r...)
	}
	spec = append(spec, "]}"...)
	if _, err := f.store.Put(platform.KindConfiguration, platform.ConfigurationName, rawJSON(spec)); err != nil {
		panic(err)
	}
	return f.version
}

// rawJSON is JSON that is encoded unchanged.
type rawJSON []byte

// MarshalJSON returns r.
func (r rawJSON) MarshalJSON() ([]byte, error) { return r, nil }

// outdatedHosts returns the names of hosts that don't have the version or a newer one in force.
func (f *fleet) outdatedHosts(version uint64) []string {
	var l []string
	for _, m := range f.hosts {
		if c := m.host.Board.Configuration(); c == nil || c.Version < version {
			l = append(l, m.host.Name)
		}
	}
	return l
}

// Guards against a stampede over a slow link: the configuration grows by many routes, and changes
// again before all hosts have it. If hosts aborted answers and asked again, they would fill the link
// and never get an answer.
func TestGrowingConfigurationReachesAllHosts(t *testing.T) {
	for _, seed := range []uint64{0, 3} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, 3, 10, seed)
				defer f.stop()
				time.Sleep(10 * time.Second)
				for range 3 {
					time.Sleep(time.Duration(f.random.Int64N(int64(3 * time.Second))))
					f.grow(1400)
					time.Sleep(2 * time.Second)
					f.grow(1)
					time.Sleep(time.Duration(f.random.Int64N(int64(time.Second))))
					v := f.grow(1)
					time.Sleep(5 * time.Second)
					if l := f.outdatedHosts(v); len(l) > 0 {
						t.Fatalf("%d of %d hosts do not have version %d with %d routes after 5 s: %v", len(l), len(f.hosts), v, scale*len(f.routes), l)
					}
				}
			})
		})
	}
}

// startSettled starts a fleet whose far region has three zones of the given number of hosts, and
// waits until all have a configuration that has grown by n routes.
func startSettled(t *testing.T, hosts, n int) *fleet {
	t.Helper()
	f := startFleet(t, 3, hosts, 1)
	time.Sleep(10 * time.Second)
	f.grow(n)
	time.Sleep(5 * time.Second)
	return f
}

// expect grows the configuration by n routes, and fails the test unless all hosts except one have it
// in time.
func (f *fleet) expect(t *testing.T, n int, except *member) {
	t.Helper()
	v := f.grow(n)
	time.Sleep(5 * time.Second)
	for _, name := range f.outdatedHosts(v) {
		if except == nil || name != except.host.Name {
			t.Errorf("%s does not have the change", name)
		}
	}
}

// size returns the length of the routes of the configuration in bytes.
func (f *fleet) size() int {
	n := 0
	for _, r := range f.routes {
		n += len(r)
	}
	return n
}

// crossed returns how many bytes were sent from the store's region to the other one.
func (f *fleet) crossed() int { return f.network.regionLink("near", "far").bytes() }

// storeReader returns the host of the far region that reads from the store.
func (f *fleet) storeReader() *member {
	for _, m := range f.hosts {
		if _, ok := m.host.UpstreamHost(platform.KindConfiguration); !ok && m.machine.region == "far" {
			return m
		}
	}
	return nil
}

// Guards against a load between two regions that grows with the number of hosts or zones: if each
// of them read a change from the store, no host would get the change in time.
func TestChangeCrossesRegionLinkOnce(t *testing.T) {
	for _, hosts := range []int{3, 12} {
		t.Run(fmt.Sprint(hosts, " hosts a zone"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startSettled(t, hosts, 1400)
				defer f.stop()
				before := f.crossed()
				f.expect(t, 1400, nil)
				if n, most := f.crossed()-before, f.size()*3/2; n > most {
					t.Errorf("%d bytes crossed for a configuration of %d", n, f.size())
				}
			})
		})
	}
}

// Guards against a stampede at the store: the host that a region reads through loses power when a
// large change is accepted. If all others read from the store, the change would cross the link once
// for each of them.
func TestReaderFailureDoesNotLoadStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSettled(t, 10, 2800)
		defer f.stop()
		before := f.crossed()
		lost := f.storeReader()
		lost.machine.powerOff()
		f.expect(t, 1400, lost)
		if n, most := f.crossed()-before, 2*f.size(); n > most {
			t.Errorf("%d bytes crossed for a configuration of %d", n, f.size())
		}
	})
}

// Guards against sending whole configurations for small changes: one route of thousands changes. If
// the host that others read through sent each of them the whole configuration, its link would be full
// when they wait for the next change.
func TestSmallChangeIsSentAsDifference(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSettled(t, 12, 2800)
		defer f.stop()
		before := f.storeReader().machine.out.bytes()
		f.expect(t, 1, nil)
		if n, most := f.storeReader().machine.out.bytes()-before, f.size()/2; n > most {
			t.Errorf("%d bytes were sent for a change of one route of %d bytes in all", n, f.size())
		}
	})
}

// Guards against one slow host that delays its region: the host that others read through has a slow
// link of its own, and the change takes longer to arrive than allowed. The others must not wait for it.
func TestReaderWithSlowLinkDoesNotDelayRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSettled(t, 10, 2800)
		defer f.stop()
		slow := f.storeReader()
		slow.machine.in.slowDown(10)
		f.expect(t, 1400, slow)
	})
}
