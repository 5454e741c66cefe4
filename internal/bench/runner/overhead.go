package runner

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/cuminwick/cuminwick/internal/bench/definer"
	"github.com/cuminwick/cuminwick/internal/bench/disturber"
	"github.com/cuminwick/cuminwick/internal/bench/loader"
	"github.com/cuminwick/cuminwick/internal/bench/reporter"
)

// Parameters of the overhead scenario.
const (
	overheadConnections = 32
	pointRows           = 1000
)

// Overhead measures point reads directly at a backend server and through one entry host. Both are
// measured in alternating turns, so that the machine's other load affects both alike.
type Overhead struct {
	System *DeployedSystem
	Group  string
	User   string
	// Duration is the duration of the whole measurement.
	Duration time.Duration
}

// OverheadDeployment returns a deployment of three backend servers and one entry host in one zone, without latency.
func OverheadDeployment() definer.Deployment {
	return definer.Deployment{
		Name: "loopback",
		Places: []disturber.Place{
			{AvailabilityZone: "a", Region: "one"},
			{AvailabilityZone: "a", Region: "one"},
			{AvailabilityZone: "a", Region: "one"},
		},
		Service:       "points",
		Groups:        []string{"points"},
		Slots:         2 * overheadConnections,
		Connections:   4 * overheadConnections,
		HostsPerPlace: 1,
		MaximumHosts:  1,
	}
}

// overheadRounds is the number of turns of each target.
const overheadRounds = 3

// Measure starts the system, runs the measurement and stops the system.
func (o *Overhead) Measure(ctx context.Context) (*reporter.Overhead, error) {
	if err := o.System.Start(ctx); err != nil {
		return nil, errors.Annotate(err, "start deployment")
	}
	r, err := o.measure(ctx)
	if e := o.System.Stop(); err == nil {
		err = errors.Annotate(e, "stop deployment")
	}
	return r, err
}

func (o *Overhead) measure(ctx context.Context) (*reporter.Overhead, error) {
	h := o.System.Hosts()[0]
	b := loader.Host{Name: "backend", Address: o.System.Groups()[o.Group].Servers[0].Addr()}
	if err := o.prepare(ctx, h); err != nil {
		return nil, err
	}
	d, t := newTarget(b), newTarget(h)
	// A round measures each of the two targets over one connection and over many.
	turn := o.Duration / overheadRounds / 4
	for range overheadRounds {
		for _, s := range []*target{d, t} {
			if err := o.measureTurn(ctx, s, 1, s.one, turn); err != nil {
				return nil, err
			}
			if err := o.measureTurn(ctx, s, overheadConnections, s.many, turn); err != nil {
				return nil, err
			}
			s.time += turn
		}
	}
	r := &reporter.Overhead{Direct: d.throughput(), Through: t.throughput()}
	r.AddedMicroseconds = r.Through.OneConnectionP50 - r.Direct.OneConnectionP50
	return r, nil
}

// target is one of the two hosts that points are read from: the backend server or the entry host.
type target struct {
	host      loader.Host
	one, many *hdrhistogram.Histogram
	time      time.Duration
}

func newTarget(h loader.Host) *target {
	return &target{host: h, one: reporter.NewHistogram(), many: reporter.NewHistogram()}
}

func (s *target) throughput() reporter.Throughput {
	return reporter.Throughput{
		Connections:      overheadConnections,
		PerSecond:        float64(s.many.TotalCount()) / s.time.Seconds(),
		P50Microseconds:  float64(s.many.ValueAtQuantile(50)),
		P99Microseconds:  float64(s.many.ValueAtQuantile(99)),
		OneConnectionP50: float64(s.one.ValueAtQuantile(50)),
	}
}

func (o *Overhead) prepare(ctx context.Context, h loader.Host) error {
	c, err := o.connect(ctx, h)
	if err != nil {
		return err
	}
	defer c.Close(ctx)
	for _, q := range []string{
		"CREATE TABLE bench_point (id bigint PRIMARY KEY, v bigint)",
		"INSERT INTO bench_point SELECT g, g FROM generate_series(1, " + strconv.Itoa(pointRows) + ") g",
	} {
		if _, err := c.Exec(ctx, q).ReadAll(); err != nil {
			return errors.Annotate(err, "prepare points")
		}
	}
	return nil
}

func (o *Overhead) connect(ctx context.Context, h loader.Host) (*pgconn.PgConn, error) {
	l := &loader.Loader{Dial: new(net.Dialer).DialContext, User: o.User}
	return l.Connect(ctx, h, o.Group, "")
}

// measureTurn reads points over n connections for the duration d and adds the latencies to h.
func (o *Overhead) measureTurn(ctx context.Context, s *target, n int, h *hdrhistogram.Histogram, d time.Duration) error {
	ctx, stop := context.WithTimeout(ctx, d)
	defer stop()
	g, x := errgroup.WithContext(ctx)
	l := make([]*hdrhistogram.Histogram, n)
	for i := range n {
		l[i] = reporter.NewHistogram()
		g.Go(func() error { return o.readPoints(x, s.host, int64(i), l[i]) })
	}
	if err := g.Wait(); err != nil {
		return err
	}
	for _, k := range l {
		h.Merge(k)
	}
	return nil
}

// pointRead is the statement that is measured.
const pointRead = "SELECT v FROM bench_point WHERE id = $1"

func (o *Overhead) readPoints(ctx context.Context, host loader.Host, seed int64, h *hdrhistogram.Histogram) error {
	x := context.WithoutCancel(ctx)
	c, err := o.connect(x, host)
	if err != nil {
		return err
	}
	defer c.Close(x)
	if _, err := c.Prepare(x, "point", pointRead, nil); err != nil {
		return errors.Annotatef(err, "prepare statement at %s", host.Name)
	}
	// stride spreads successive reads over the table.
	const stride = 7919
	for i := seed; ctx.Err() == nil; i += stride {
		k := strconv.FormatInt(i%pointRows+1, 10)
		b := time.Now()
		r := c.ExecPrepared(x, "point", [][]byte{[]byte(k)}, nil, nil).Read()
		d := time.Since(b)
		if r.Err != nil {
			return errors.Annotatef(r.Err, "read point from %s", host.Name)
		}
		if len(r.Rows) != 1 || string(r.Rows[0][0]) != k {
			return errors.Errorf("point %s from %s has %d rows", k, host.Name, len(r.Rows))
		}
		if err := reporter.Record(h, d); err != nil {
			return err
		}
	}
	return nil
}
