package assembler

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/platform"
)

// rawStore is a store whose objects are written as they are, valid or not.
type rawStore struct {
	mu sync.Mutex
	// objects holds the last change of each object by its kind and name, and order their keys.
	objects  map[string]rawObject
	order    []string
	revision uint64
}

type rawObject struct {
	json     string
	revision uint64
}

// put writes an object whose metadata has the name and revision.
func (s *rawStore) put(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects == nil {
		s.objects = make(map[string]rawObject)
	}
	s.revision++
	k := kind + "/" + name
	if _, ok := s.objects[k]; !ok {
		s.order = append(s.order, k)
	}
	s.objects[k] = rawObject{json: fmt.Sprintf(`{"meta":{"name":%q,"revision":%d},"spec":%s}`, name, s.revision, spec), revision: s.revision}
}

// after returns the objects of a kind that have changed after the revision, and the store's revision.
func (s *rawStore) after(kind string, revision uint64) ([]string, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []string
	for _, k := range s.order {
		if o := s.objects[k]; strings.HasPrefix(k, kind+"/") && o.revision > revision {
			l = append(l, o.json)
		}
	}
	return l, s.revision
}

func (s *rawStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p := strings.TrimPrefix(r.URL.Path, "/api/objects/")
	kind, name, _ := strings.Cut(p, "/")
	switch q := r.URL.Query(); {
	case r.Method != http.MethodGet:
		fmt.Fprint(w, `{"meta":{"name":"h","revision":99},"spec":{}}`)
	case name != "":
		s.get(w, p)
	case q.Has("watch"):
		n, _ := strconv.ParseUint(q.Get("watch"), 10, 64)
		l, at := s.after(kind, n)
		for end := time.Now().Add(100 * time.Millisecond); len(l) == 0 && time.Now().Before(end); l, at = s.after(kind, n) {
			time.Sleep(10 * time.Millisecond)
		}
		for i := range l {
			l[i] = `{"object":` + l[i] + `,"removed":false}`
		}
		fmt.Fprintf(w, `{"events":[%s],"as_of":%d}`, strings.Join(l, ","), at)
	default:
		l, at := s.after(kind, 0)
		fmt.Fprintf(w, `{"items":[%s],"more":false,"as_of":%d}`, strings.Join(l, ","), at)
	}
}

// get answers with one object.
func (s *rawStore) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	fmt.Fprint(w, o.json)
}

// putOdd writes an object of another writer of each kind.
func (s *rawStore) putOdd(name, spec string) {
	for _, k := range []string{platform.KindServers, platform.KindHosts, platform.KindConfiguration, platform.KindPromotions} {
		s.put(k, name, spec)
	}
}

func (s *rawStore) putConfiguration(version int, databases ...string) {
	var l []string
	for _, d := range databases {
		l = append(l, fmt.Sprintf(`{"name":"r-%[1]s","host":"%[1]s","route_type":"primary","timeout_ms":5000,"backend":"g"}`, d))
	}
	s.put(platform.KindConfiguration, "main", fmt.Sprintf(`{"version":%d,"routes":[%s],"backends":[{"name":"g","max_connections":8}],"limits":{"idle_tx_ms":3000}}`, version, strings.Join(l, ",")))
}

// startHostOn starts a host on the store. It isn't ready before it has a server and a configuration.
func startHostOn(t *testing.T, s *rawStore) *host {
	t.Helper()
	v := httptest.NewServer(s)
	t.Cleanup(v.Close)
	a := strings.TrimPrefix(v.URL, "http://")
	at := func(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
	for range 20 {
		h := &host{drain: make(chan struct{}), done: make(chan error, 1), settings: platform.Settings{
			HostName: "h", AvailabilityZone: "z", Region: "r", Regions: map[string]string{"z": "r"},
			CallerAddress: at(freePort(t)), ReadinessAddress: at(freePort(t)), Address: "127.0.0.1", FirstPort: freePortPair(t), ConfigurationLimit: 3 * time.Second, DrainLimit: 7 * time.Second,
			StoreAddress: a, CommandAddress: a, Grace: 3 * time.Second, MemoryBytes: 1 << 30,
		}}
		go func() {
			x := &Assembler{Settings: h.settings, LogOutput: &h.log}
			h.done <- x.Run(context.Background(), h.drain)
		}()
		select {
		case err := <-h.done:
			if !errors.Is(err, syscall.EADDRINUSE) {
				t.Fatal(err)
			}
		case <-time.After(200 * time.Millisecond):
			return h
		}
	}
	t.Fatal("no free ports")
	return nil
}

// awaitAnswer asks in new sessions until an answer of the form comes.
func (h *host) awaitAnswer(t *testing.T, database, text, form string) {
	t.Helper()
	var got string
	want := regexp.MustCompile("^" + form + "$")
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c := h.call(t, database)
		got = c.line()
		if strings.HasPrefix(got, "READY") {
			got = c.ask(text)
		}
		c.conn.Close()
		if want.MatchString(got) {
			return
		}
	}
	t.Errorf("%s: %q, want %q", database, got, form)
}

// Another writer leaves an odd object of each kind that a host reads, before the host starts and while it
// runs. Guards against a process that ends, and against one that doesn't follow servers and configurations
// any more.
func TestHostFollowsStoreWithOddEntries(t *testing.T) {
	for name, spec := range map[string]string{
		"nested deeply":     strings.Repeat("[", 9999) + strings.Repeat("]", 9999),
		"number too large":  `{"backend":"g","address":"127.0.0.1:1","zone":"z","capacity":1e400,"state":"ready","db_role":"primary","sequence":1,"version":1e400,"zone-upstreams":1e400,"above":1e400}`,
		"port too large":    `{"backend":"g","address":"127.0.0.1:99999","zone":"z","capacity":-2,"state":"ready","db_role":"primary","sequence":1,"warmup_ms":9223372036854775807,"bandwidth":-1}`,
		"upstreams below 0": `{"hosts":[{"name":"b","address":"127.0.0.1:1","zone":"z","bandwidth":5}],"zone-upstreams":-1}`,
		"not JSON":          `{"backend":g}`,
		"not closed":        `{"backend":["`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			i := startInstance(t)
			s := &rawStore{}
			s.putOdd("odd", spec)
			s.put(platform.KindSeeds, "z", spec)
			s.putConfiguration(3, "books")
			h := startHostOn(t, s)
			s.putOdd("odd-2", spec)
			s.put(platform.KindServers, "i-1", fmt.Sprintf(`{"backend":"g","address":%q,"zone":"z","capacity":2,"state":"ready","db_role":"primary","sequence":1}`, i.listener.Addr().String()))
			h.awaitAnswer(t, "books", "WRITE a one", `DONE sig\d+\|READY I 1\.\d+`)
			s.putOdd("odd", spec)
			s.put(platform.KindConfiguration, "main", spec)
			h.awaitAnswer(t, "books", "READ a", `ROW one\|DONE sig\d+\|READY I 1\.\d+`)
			s.putConfiguration(4, "books", "notes")
			h.awaitAnswer(t, "notes", "READ a", `ROW one\|DONE sig\d+\|READY I 1\.\d+`)
			close(h.drain)
			if err := <-h.done; err != nil {
				t.Error(err)
			}
			if l := h.log.String(); strings.Contains(l, "platform lost") || len(l) > 64<<10 {
				t.Errorf("log of %d bytes: %.3000s", len(l), l)
			}
			if n := bytes.Count(h.log.Bytes(), []byte("invalid object")); n == 0 || n > 20 {
				t.Errorf("%d reports of invalid objects", n)
			}
		})
	}
}
