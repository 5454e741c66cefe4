package storekeeper

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maximumBody bounds a call's body, in bytes.
const maximumBody = 1 << 20

// Handler is the store as one entry host reaches it.
type Handler struct {
	Store *Store
	// RewriteAddress returns the way from this host to an address that an object names, so that a
	// fault on one host's way is that host's alone. Addresses stay as they are if it is nil.
	RewriteAddress func(address string) string
}

// ServeHTTP answers one call.
func (v Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f := v.Store.broken()
	time.Sleep(f.Delay)
	switch f.Mode {
	case ModeSilent:
		<-r.Context().Done()
		return
	case ModeBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case ModeReset:
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/promote" {
		v.promote(w, r)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	switch {
	case r.Method != http.MethodGet:
		v.change(w, r, kind, name)
	case name != "":
		v.get(w, kind, name)
	case r.URL.Query().Has("watch"):
		v.watch(w, r, kind)
	default:
		l, at := v.Store.list(kind)
		for i := range l {
			l[i] = v.translate(l[i])
		}
		answer(w, http.StatusOK, page{Items: l, Revision: at})
	}
}

type page struct {
	Items    []object `json:"items"`
	More     bool     `json:"more"`
	Revision uint64   `json:"as_of"`
}

type changes struct {
	Events   []event `json:"events"`
	Revision uint64  `json:"as_of"`
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// translate replaces the address that an object names by this host's way to it.
func (v Handler) translate(o object) object {
	if v.RewriteAddress == nil {
		return o
	}
	var spec map[string]any
	if json.Unmarshal(o.Spec, &spec) != nil {
		return o
	}
	a, ok := spec["address"].(string)
	if !ok {
		return o
	}
	spec["address"] = v.RewriteAddress(a)
	if b, err := json.Marshal(spec); err == nil {
		o.Spec = b
	}
	return o
}

func (v Handler) get(w http.ResponseWriter, kind, name string) {
	o, ok := v.Store.get(kind, name)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, v.translate(o))
}

func (v Handler) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	t := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer t.Stop()
	for over := false; ; {
		l, at, kept, changed := v.Store.since(kind, after)
		if !kept {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(l) > 0 || over {
			for i := range l {
				l[i].Object = v.translate(l[i].Object)
			}
			answer(w, http.StatusOK, changes{Events: l, Revision: at})
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

// change creates, replaces or deletes one object.
func (v Handler) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	b, err := io.ReadAll(io.LimitReader(r.Body, maximumBody))
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
	if r.Method == http.MethodPost {
		name = o.Meta.Name
	}
	status, n := v.Store.apply(r.Method, kind, name, o)
	if v.Store.lose() {
		panic(http.ErrAbortHandler)
	}
	answer(w, status, n)
}

// apply makes one change if its condition holds.
func (s *Store) apply(method, kind, name string, o object) (int, object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, there := s.kinds[kind][name]
	switch {
	case method == http.MethodPost && there:
		return http.StatusConflict, old
	case method != http.MethodPost && !there:
		return http.StatusNotFound, object{}
	case o.Meta.Revision != 0 && o.Meta.Revision != old.Meta.Revision:
		return http.StatusConflict, old
	case method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, old
	}
	return http.StatusOK, s.set(kind, name, o.Spec)
}

// order is that of a promotion on the wire.
type order struct {
	Backend string `json:"backend"`
	ID      string `json:"id"`
}

func (v Handler) promote(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(io.LimitReader(r.Body, maximumBody)).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	token, err := strconv.ParseUint(r.Header.Get("X-Cuminwick-Fencing-Token"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if v.Store.Promote(o.Backend, o.ID, token) != nil {
		w.WriteHeader(http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusOK)
}
