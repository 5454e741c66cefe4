package assembler

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/cuminwick/cuminwick/internal/proxy/announcer"
	"github.com/cuminwick/cuminwick/internal/proxy/cachesyncer"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/runner"
	"github.com/cuminwick/cuminwick/platform"
)

// feeder creates the readers of the platform's objects, and serves other hosts from their mirrors.
type feeder struct {
	store  *platform.Store
	remote cachesyncer.Remote
	host   *runner.Host
	// sent is called with each answer to another host.
	sent    func(declarer.Transfer)
	servers map[string]*platform.FeedServer
	// now reads a monotonic clock that also advances while the host is suspended.
	now func() time.Duration
	// tell tells another host that the store answers this one again.
	tell func(ctx context.Context, h declarer.Host) error
	// holder is shared by the readers, and announcer tells the other hosts of the region.
	holder    cachesyncer.Holder
	announcer announcer.Announcer
	// ranks is set if the deployment's settings call for an order of requests by priority.
	ranks bool
}

// attach sets the sources that the host follows.
func (f *feeder) attach(h *runner.Host, reportInvalid func(error)) {
	f.host = h
	f.announcer.Hosts, f.announcer.Tell, f.announcer.Log = h.RegionHosts, f.tell, h.Log
	f.holder.Now, f.holder.RegionSize, f.holder.CheckInterval = f.now, h.RegionSize, h.CheckInterval
	f.holder.OnRegained = f.announcer.Announce
	f.holder.OnHold, f.holder.OnRelease = f.logHold, f.logRelease
	c := &platform.Reader{Store: f.store, Kind: platform.KindConfiguration, Conceal: platform.ConcealKeys, OnInvalid: reportInvalid}
	h.Configurations = &platform.Source[*declarer.Configuration]{Reader: f.reader(c, h.ConfigurationTiming()), Parse: f.parseConfiguration, OnInvalid: reportInvalid, KeepLastValid: true}
	h.Servers = &platform.Source[declarer.Server]{Reader: f.reader(&platform.Reader{Store: f.store, Kind: platform.KindServers}, h.ServersTiming()), Parse: platform.ParseServer, OnInvalid: reportInvalid}
	h.Hosts = &platform.Source[declarer.Host]{Reader: f.reader(&platform.Reader{Store: f.store, Kind: platform.KindHosts}, h.HostsTiming()), Parse: platform.ParseHost, OnInvalid: reportInvalid}
}

// loggedHosts is how many hosts a log line names at most.
const loggedHosts = 5

// logHold logs what the calls to the store that begin to be held back wait for.
func (f *feeder) logHold(x cachesyncer.Hold) {
	f.host.Log.WithFields(log.Fields{
		"kind": x.Kind, "lost-by": strings.Join(x.Hosts[:min(loggedHosts, len(x.Hosts))], ","), "lost-by-count": len(x.Hosts), "last-kind": x.LastKind, "last-ago": x.LastAgo.String(),
		"awaited": x.Awaited, "for": x.For.String(),
	}).Warn("calls to the platform held back")
}

// logRelease logs that a hold of calls to the store has ended.
func (f *feeder) logRelease(x cachesyncer.Release) {
	f.host.Log.WithFields(log.Fields{"answered": x.Answered, "after": x.After.String(), "calls": x.Calls}).Info("calls to the platform no longer held back")
}

// recordNotice records that the store answers another host.
func (f *feeder) recordNotice(host string) {
	if !f.holder.RecordNotice() {
		return
	}
	f.host.Log.WithField("host", host).Info("platform answers another host")
	f.host.RetryPlatform()
}

// parseConfiguration decodes a configuration. Without the setting it isn't ranked: operators give their
// routes priorities also where these are to order nothing.
func (f *feeder) parseConfiguration(e cachesyncer.Entry) (*declarer.Configuration, error) {
	c, err := platform.ParseOperatorConfiguration(e)
	if c != nil {
		c.Ranked = c.Ranked && f.ranks
	}
	return c, err
}

// reader returns the reader of the kind of object that r reads from the store.
func (f *feeder) reader(r *platform.Reader, p runner.ReadTiming) cachesyncer.Reader {
	kind := r.Kind
	m := &cachesyncer.Mirror{Store: r, Now: f.now, TTL: p.TTL, MinimumPause: p.MinimumPause, MaximumPause: p.MaximumPause, CheckTimeout: f.host.CheckInterval}
	m.OnSilent = func() {
		f.host.Log.WithField("kind", kind).Warn("watch of the platform not answered, reading the list")
	}
	f.servers[kind] = &platform.FeedServer{Kind: kind, Mirror: m, OnSend: f.sent}
	return &cachesyncer.Selector{Kind: kind, Mirror: m, Remote: f.remote, Host: f.host.UpstreamHost, Failed: f.host.UpstreamFailed, Detour: f.host.UpstreamDetour, Holder: &f.holder}
}

// lastValue returns an object's value as last read, nil if it is unknown.
func (f *feeder) lastValue(kind, name string) []byte {
	if x := f.servers[kind]; x != nil {
		return x.Mirror.Value(name)
	}
	return nil
}

// serve serves a host that reads a kind of object through this one.
func (f *feeder) serve(c net.Conn, kind string) {
	if x := f.servers[kind]; x != nil {
		x.Serve(context.Background(), c)
	}
}
