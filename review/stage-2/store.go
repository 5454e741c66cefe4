package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// object is one object of the platform's store, as it is encoded in answers.
type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status,omitempty"`
}

// meta is the metadata of an object.
type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// event is one change of an object.
type event struct {
	Object  object `json:"object"`
	Removed bool   `json:"removed"`

	kind     string
	revision uint64
}

// store stands in for the platform's store. It loses nothing, and answers at once unless a host is turned away.
type store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	events   []event
	// changed is closed at the next change.
	changed chan struct{}
}

func newStore() *store {
	return &store{kinds: make(map[string]map[string]object), changed: make(chan struct{})}
}

// put sets an object as the operator or an instance does. An unchanged value keeps its revision.
func (s *store) put(kind, name string, spec any) {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, b, nil)
}

// delete removes an object if it exists.
func (s *store) delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.kinds[kind][name]; ok {
		s.remove(kind, o)
	}
}

// get returns the object, false if there is none.
func (s *store) get(kind, name string) (object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	return o, ok
}

// set creates or replaces an object. The caller holds the mutex.
func (s *store) set(kind, name string, spec json.RawMessage, finalizers []string) object {
	old, exists := s.kinds[kind][name]
	if exists && bytes.Equal(old.Spec, spec) && slices.Equal(old.Meta.Finalizers, finalizers) {
		return old
	}
	s.revision++
	o := object{Meta: meta{Name: name, Revision: s.revision, Created: s.revision, Finalizers: finalizers}, Spec: spec, Status: old.Status}
	if exists {
		o.Meta.Created = old.Meta.Created
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	s.kinds[kind][name] = o
	s.record(event{Object: o, kind: kind, revision: s.revision})
	return o
}

// remove removes an object. The caller holds the mutex.
func (s *store) remove(kind string, o object) {
	s.revision++
	delete(s.kinds[kind], o.Meta.Name)
	s.record(event{Object: o, Removed: true, kind: kind, revision: s.revision})
}

// record keeps an event and wakes the watches. The caller holds the mutex.
func (s *store) record(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// since returns the changes of a kind after a revision, the present revision, and a channel that is closed at the
// next change.
func (s *store) since(kind string, after uint64) ([]event, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := []event{}
	for _, e := range s.events {
		if e.kind == kind && e.revision > after {
			l = append(l, e)
		}
	}
	return l, s.revision, s.changed
}

// list returns all objects of a kind, sorted by name, and the present revision.
func (s *store) list(kind string) ([]object, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := []object{}
	for _, o := range s.kinds[kind] {
		l = append(l, o)
	}
	slices.SortFunc(l, func(a, b object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	return l, s.revision
}

// change makes the change of one call and returns its status and answer.
func (s *store) change(method, kind, name string, revision uint64, o object) (int, object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.kinds[kind][name]
	switch {
	case method == http.MethodPost && exists:
		return http.StatusConflict, old
	case method != http.MethodPost && !exists:
		return http.StatusNotFound, object{}
	case method != http.MethodPost && revision != 0 && revision != old.Meta.Revision:
		return http.StatusConflict, old
	case method == http.MethodDelete:
		s.remove(kind, old)
		return http.StatusOK, old
	}
	return http.StatusOK, s.set(kind, name, o.Spec, o.Meta.Finalizers)
}

// view serves the store to one host.
type view struct {
	store *store
	// away is set while the store turns the host away.
	away atomic.Bool
	// reset is closed when the host is turned away, so that its waiting watches are cut off.
	mu    sync.Mutex
	reset chan struct{}
}

func newView(s *store) *view { return &view{store: s, reset: make(chan struct{})} }

// turnAway has the store answer 503 to the host and cut off its watches, until it is called with false.
func (v *view) turnAway(away bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.away.Store(away)
	if away {
		close(v.reset)
		v.reset = make(chan struct{})
	}
}

func (v *view) cutOff() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.reset
}

// ServeHTTP answers one call.
func (v *view) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	cut := v.cutOff()
	if v.away.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	switch {
	case r.Method != http.MethodGet:
		v.change(w, r, kind, name)
	case name != "":
		if o, ok := v.store.get(kind, name); ok {
			answer(w, http.StatusOK, o)
			return
		}
		w.WriteHeader(http.StatusNotFound)
	case r.URL.Query().Has("watch"):
		v.watch(w, r, kind, cut)
	default:
		l, at := v.store.list(kind)
		answer(w, http.StatusOK, map[string]any{"items": l, "more": false, "as_of": at})
	}
}

func (v *view) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	b, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	var o object
	if r.Method != http.MethodDelete {
		if err := json.Unmarshal(b, &o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	revision := o.Meta.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		revision, _ = strconv.ParseUint(q, 10, 64)
	}
	if r.Method == http.MethodPost {
		name = o.Meta.Name
	}
	status, n := v.store.change(r.Method, kind, name, revision, o)
	answer(w, status, n)
}

func (v *view) watch(w http.ResponseWriter, r *http.Request, kind string, cut <-chan struct{}) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	t := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer t.Stop()
	for over := false; ; {
		l, at, changed := v.store.since(kind, after)
		if len(l) > 0 || over {
			answer(w, http.StatusOK, map[string]any{"events": l, "as_of": at})
			return
		}
		select {
		case <-changed:
		case <-t.C:
			over = true
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// answer writes the status and the body.
func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// serveHTTP serves a handler on a free port of a loopback address, and returns the address.
func serveHTTP(ip string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}
