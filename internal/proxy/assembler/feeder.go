package assembler

import (
	"context"
	"net"
	"time"

	"github.com/cuminwick/cuminwick/internal/proxy/cachesyncer"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/runner"
	"github.com/cuminwick/cuminwick/platform"
)

// feeder makes the readers of what the platform lists, and serves other hosts from them.
type feeder struct {
	store  *platform.Store
	remote cachesyncer.Remote
	host   *runner.Host
	// sent is told of each answer to another host.
	sent    func(declarer.Transfer)
	servers map[string]*platform.FeedServer
	// now reads a clock that counts time in which the host stood still.
	now func() time.Duration
}

// attach makes the sources of what the host follows.
func (f *feeder) attach(h *runner.Host, faulty func(error)) {
	f.host = h
	h.Configurations = &platform.Source[*declarer.Configuration]{Reader: f.reader(platform.KindConfiguration, h.ConfigurationTiming()), Parse: platform.ParseConfiguration, Faulty: faulty, Keep: true}
	h.Servers = &platform.Source[declarer.Server]{Reader: f.reader(platform.KindServers, h.ServersTiming()), Parse: platform.ParseServer, Faulty: faulty}
	h.Hosts = &platform.Source[declarer.Host]{Reader: f.reader(platform.KindHosts, h.HostsTiming()), Parse: platform.ParseHost, Faulty: faulty}
}

// reader returns the reader of a kind.
func (f *feeder) reader(kind string, p runner.ReadTiming) cachesyncer.Reader {
	m := &cachesyncer.Mirror{Store: &platform.Reader{Store: f.store, Kind: kind}, Now: f.now, TTL: p.Lifetime, MinimumPause: p.MinimumPause, MaximumPause: p.MaximumPause}
	f.servers[kind] = &platform.FeedServer{Kind: kind, Mirror: m, Sent: f.sent}
	return &cachesyncer.Selector{Kind: kind, Mirror: m, Remote: f.remote, Host: f.host.UpstreamHost, Failed: f.host.UpstreamFailed}
}

// known returns an object as it was last read.
func (f *feeder) known(kind, name string) []byte {
	if x := f.servers[kind]; x != nil {
		return x.Mirror.Value(name)
	}
	return nil
}

// serve answers a host that reads a kind through this one.
func (f *feeder) serve(c net.Conn, kind string) {
	if x := f.servers[kind]; x != nil {
		x.Serve(context.Background(), c)
	}
}
