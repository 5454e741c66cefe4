package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	Object  object `json:"object"`
	Removed bool   `json:"removed"`

	kind     string
	revision uint64
}

// store stands in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	events   []event
	renewed  map[string]time.Time
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 10, kinds: make(map[string]map[string]object), renewed: make(map[string]time.Time), changed: make(chan struct{})}
}

// set writes an object unless it stays the same. The mutex is held.
func (s *store) set(kind, name string, spec json.RawMessage) object {
	o, ok := s.kinds[kind][name]
	if ok && bytes.Equal(o.Spec, spec) {
		return o
	}
	s.revision++
	if !ok {
		o = object{Meta: meta{Name: name, Created: s.revision, Finalizers: []string{}}, Status: json.RawMessage("null")}
	}
	o.Meta.Revision, o.Spec = s.revision, spec
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	s.kinds[kind][name] = o
	s.emit(event{Object: o, kind: kind, revision: s.revision})
	return o
}

func (s *store) remove(kind, name string) object {
	o := s.kinds[kind][name]
	delete(s.kinds[kind], name)
	s.revision++
	s.emit(event{Object: o, Removed: true, kind: kind, revision: s.revision})
	return o
}

func (s *store) emit(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an object of the operator or of an instance.
func (s *store) put(kind, name string, spec any) error {
	b, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, b)
	s.renewed[kind+"/"+name] = time.Now()
	return nil
}

// expire removes the entries of instances that have been silent for three heartbeats.
func (s *store) expire(r *record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range s.kinds["servers"] {
		if time.Since(s.renewed["servers/"+n]) > 3*heartbeat {
			s.remove("servers", n)
			r.add("store: entry of %s has expired", n)
		}
	}
}

// view serves the store and the API for orders to one entry host.
type view struct {
	store   *store
	rewrite func(o object) object
	promote func(service, id, holder string, token uint64) int
}

func (v *view) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/promote" {
		v.servePromote(w, r)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	b, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	switch {
	case r.Method != http.MethodGet:
		v.change(w, r.Method, kind, name, b)
	case r.URL.Query().Has("watch"):
		v.watch(w, r, kind)
	case name != "":
		v.store.mu.Lock()
		o, ok := v.store.kinds[kind][name]
		v.store.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		write(w, http.StatusOK, v.rewrite(o))
	default:
		v.list(w, kind)
	}
}

func write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (v *view) list(w http.ResponseWriter, kind string) {
	s := v.store
	s.mu.Lock()
	l, at := []object{}, s.revision
	for _, o := range s.kinds[kind] {
		l = append(l, o)
	}
	s.mu.Unlock()
	slices.SortFunc(l, func(a, b object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	for i := range l {
		l[i] = v.rewrite(l[i])
	}
	write(w, http.StatusOK, map[string]any{"items": l, "more": false, "as_of": at})
}

func (v *view) watch(w http.ResponseWriter, r *http.Request, kind string) {
	s := v.store
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	t := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer t.Stop()
	for over := false; ; {
		s.mu.Lock()
		l, at, changed := []event{}, s.revision, s.changed
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				l = append(l, e)
			}
		}
		s.mu.Unlock()
		if len(l) > 0 || over {
			for i := range l {
				l[i].Object = v.rewrite(l[i].Object)
			}
			write(w, http.StatusOK, map[string]any{"events": l, "as_of": at})
			return
		}
		select {
		case <-changed:
		case <-t.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (v *view) change(w http.ResponseWriter, method, kind, name string, b []byte) {
	s := v.store
	var o object
	if method != http.MethodDelete && json.Unmarshal(b, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if method == http.MethodPost {
		name = o.Meta.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.kinds[kind][name]
	switch {
	case method == http.MethodPost && ok, ok && o.Meta.Revision != 0 && o.Meta.Revision != old.Meta.Revision:
		write(w, http.StatusConflict, old)
	case method != http.MethodPost && !ok:
		w.WriteHeader(http.StatusNotFound)
	case method == http.MethodDelete:
		write(w, http.StatusOK, s.remove(kind, name))
	default:
		write(w, http.StatusOK, s.set(kind, name, o.Spec))
	}
}

func (v *view) servePromote(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Backend string `json:"backend"`
		ID      string `json:"id"`
	}
	if json.NewDecoder(io.LimitReader(r.Body, 1<<20)).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	token, err := strconv.ParseUint(r.Header.Get("X-Cuminwick-Fencing-Token"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := v.promote(o.Backend, o.ID, r.Header.Get("X-Cuminwick-Lease-Holder"), token)
	if status == 0 {
		<-r.Context().Done() // the order gets no answer
		return
	}
	w.WriteHeader(status)
	_, _ = fmt.Fprint(w, "{}")
}
