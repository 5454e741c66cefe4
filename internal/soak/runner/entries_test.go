package runner

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/soak/replicator"
)

var (
	entrySeeds  = flag.Int("soak.entry-seeds", 1, "number of seeds of TestFreshServersAreUsedBesideOddEntries")
	entryLength = flag.Duration("soak.entry-length", 5*time.Second, "time between the odd entries and the end of the soak")
)

// freshServer is the index of the server that appears after the odd entries. It is a replica.
const freshServer = 2

// Guards against entries of another writer that keep hosts from servers which appear after them, or that hosts take
// for servers: too deep, with numbers out of range, or with fields of other types.
func TestFreshServersAreUsedBesideOddEntries(t *testing.T) {
	soakSeeds(t, *entrySeeds, soakEntries)
}

func soakEntries(t *testing.T, seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := &deployment{directory: newDirectory(t, "soak-entries", seed), seed: seed, hostCount: *hosts, statementTime: shortStatement, entries: &oddEntries{}}
	d.customers, d.connections = kindOfSoak(seed)
	r := rand.New(rand.NewPCG(seed, 5))
	for _, i := range r.Perm(len(oddFields))[:len(oddFields)/2] {
		if err := d.entries.add(fmt.Sprintf("%c-%s", "ahz"[r.IntN(3)], oddFields[i].name), oddFields[i]); err != nil {
			t.Fatal(err)
		}
	}
	defer d.entries.close()
	t.Log(d.entries.names)
	s := &soakRun{deployment: d, random: rand.New(rand.NewPCG(seed, 1)), injector: &injector{deployment: d}, calm: *entryLength}
	s.test(ctx, t, seed)
}

// oddField is a field of an entry that makes it none of a server.
type oddField struct {
	name string
	// key is the field, empty for the whole entry, which is replaced by value.
	key, value string
}

// deepest is an entry's depth of nesting, with which a page that holds it exceeds what decoders accept.
const deepest = 9_999

var oddFields = []oddField{
	{name: "deep", key: "capacity", value: strings.Repeat("[", deepest-1) + strings.Repeat("]", deepest-1)},
	{name: "deep-object", key: "state", value: strings.Repeat(`{"a":`, deepest-1) + "1" + strings.Repeat("}", deepest-1)},
	{name: "huge-capacity", key: "capacity", value: "1e999"},
	{name: "huge-sequence", key: "sequence", value: "99999999999999999999"},
	{name: "negative-capacity", key: "capacity", value: "-4"},
	{name: "long-warm-up", key: "warmup_ms", value: "9223372036854775807"},
	{name: "port-zero", key: "address", value: `"127.0.0.1:0"`},
	{name: "port-above", key: "address", value: `"127.0.0.1:99999"`},
	{name: "port-of-a-primary", key: "address", value: `"127.0.0.1:99999","db_role":"primary"`},
	{name: "state", key: "state", value: `"\u0000"`},
	{name: "role", key: "db_role", value: `["replica"]`},
	{name: "no-service", key: "backend", value: "null"},
	{name: "bytes", value: "\"\xff\xfe\x80\""},
	{name: "number", value: "-0.0e-999"},
	{name: "null", value: "null"},
}

// oddEntries are entries of another writer among those of the servers.
type oddEntries struct {
	names     []string
	specs     []json.RawMessage
	listeners []net.Listener
	// present is set once the entries are in the store, followed once the fresh server is.
	present, followed atomic.Bool
	// connected counts the connections to the addresses of the entries, by index.
	connected []*atomic.Int64
}

// add adds an entry, which names a listener of its own unless its field is the address.
func (o *oddEntries) add(name string, f oddField) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fields := map[string]string{
		"backend": `"group-0"`, "address": `"` + l.Addr().String() + `"`, "zone": `"zone-0"`, "capacity": "4", "state": `"ready"`,
		"db_role": `"replica"`, "sequence": "1",
	}
	if strings.Contains(f.value, "db_role") {
		delete(fields, "db_role")
	}
	fields[f.key] = f.value
	var parts []string
	for k, v := range fields {
		parts = append(parts, `"`+k+`":`+v)
	}
	slices.Sort(parts)
	spec := "{" + strings.Join(parts, ",") + "}"
	if f.key == "" {
		spec = f.value
	}
	o.names, o.specs, o.listeners = append(o.names, name), append(o.specs, json.RawMessage(spec)), append(o.listeners, l)
	n := new(atomic.Int64)
	o.connected = append(o.connected, n)
	go (&trap{listener: l, connected: n}).run()
	return nil
}

func (o *oddEntries) close() {
	for _, l := range o.listeners {
		l.Close()
	}
}

// trap counts connections to a listener, and closes them.
type trap struct {
	listener  net.Listener
	connected *atomic.Int64
}

func (t *trap) run() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.connected.Add(1)
		c.Close()
	}
}

// hides reports whether the server isn't in the store yet.
func (o *oddEntries) hides(d *deployment, s *server) bool {
	return o != nil && s == d.servers[freshServer] && !o.followed.Load()
}

// freshDelay is the time after the odd entries after which the fresh server appears.
const freshDelay = time.Second

// appear puts the entries into the store, followed by the fresh server.
func (o *oddEntries) appear() {
	if o == nil {
		return
	}
	o.present.Store(true)
	time.Sleep(freshDelay)
	o.followed.Store(true)
}

// renew writes the entries to the store.
func (o *oddEntries) renew(d *deployment) {
	if o == nil || !o.present.Load() {
		return
	}
	for i, n := range o.names {
		_ = d.store.Renew("servers", n, o.specs[i])
	}
}

// checkEntries returns findings for odd entries that hosts took for servers, and one if they didn't use the server that
// appeared after these entries.
func (d *deployment) checkEntries() []string {
	if d.entries == nil {
		return nil
	}
	var findings []string
	for i, n := range d.entries.names {
		if c := d.entries.connected[i].Load(); c > 0 {
			findings = append(findings, fmt.Sprintf("entry: %d connections to the address of %s, which is no server's", c, n))
		}
	}
	fresh := d.servers[freshServer].Server.ID
	ran := func(e replicator.Execution) bool { return e.Server == fresh && e.Keyword == "READ" }
	if !slices.ContainsFunc(d.groups[0].Truth().Executions, ran) {
		findings = append(findings, fmt.Sprintf("entry: %s, which appeared beside %v, ran no read", fresh, d.entries.names))
	}
	return findings
}
