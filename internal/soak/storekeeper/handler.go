package storekeeper

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// maximumBodyBytes is the maximum size of a request body.
const maximumBodyBytes = 1 << 20

// Handler serves the store over HTTP to one entry host.
type Handler struct {
	Store *Store
	// RewriteAddress returns the address at which this host reaches an address in an object's spec, so
	// that faults of the network can affect one host alone. Nil leaves addresses unchanged.
	RewriteAddress func(address string) string
	// Cut, if not nil, reports whether this host's calls are left without an answer.
	Cut func() bool
}

// ServeHTTP answers one request, or applies the store's fault to it.
func (v Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f := v.Store.currentFault()
	time.Sleep(f.Delay)
	if v.Cut != nil && v.Cut() {
		f.Mode = ModeSilent
	}
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
			l[i] = v.rewriteAddress(l[i])
		}
		answer(w, http.StatusOK, page{Items: l, Revision: at})
	}
}

// page is the answer to a list request.
type page struct {
	Items    []object `json:"items"`
	More     bool     `json:"more"`
	Revision uint64   `json:"as_of"`
}

// changes is the answer to a watch request.
type changes struct {
	Events   []event `json:"events"`
	Revision uint64  `json:"as_of"`
}

// answer writes the status and the body as JSON.
func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// addressKey is the key of an address in a spec.
var addressKey = []byte(`"address"`)

// rewriteAddress returns the object with its address and those in its list of hosts, if it has any,
// replaced by RewriteAddress.
func (v Handler) rewriteAddress(o object) object {
	// Configurations have no address. Decoding all of their versions in the history for each watch takes
	// longer than hosts wait for the answer, so that their next calls would find the store busier still.
	if v.RewriteAddress == nil || !bytes.Contains(o.Spec, addressKey) {
		return o
	}
	var spec map[string]any
	if json.Unmarshal(o.Spec, &spec) != nil {
		return o
	}
	v.rewriteSpec(spec)
	l, _ := spec["hosts"].([]any)
	for _, x := range l {
		if h, ok := x.(map[string]any); ok {
			v.rewriteSpec(h)
		}
	}
	if b, err := json.Marshal(spec); err == nil {
		o.Spec = b
	}
	return o
}

// rewriteSpec replaces the address of one server or host, if it has one.
func (v Handler) rewriteSpec(spec map[string]any) {
	if a, ok := spec["address"].(string); ok {
		spec["address"] = v.RewriteAddress(a)
	}
}

// get answers with one object.
func (v Handler) get(w http.ResponseWriter, kind, name string) {
	o, ok := v.Store.get(kind, name)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, v.rewriteAddress(o))
}

// watch answers with the changes after a revision. It waits for one for at most wait_ms,
// and answers 410 if the history does not reach back to the revision.
func (v Handler) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	t := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer t.Stop()
	for expired := false; ; {
		l, at, available, changed := v.Store.since(kind, after)
		if v.Store.currentFault().SilentWatches {
			<-r.Context().Done()
			return
		}
		if !available {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(l) > 0 || expired {
			for i := range l {
				if r.Context().Err() != nil {
					return // the host has given up the call
				}
				l[i].Object = v.rewriteAddress(l[i].Object)
			}
			answer(w, http.StatusOK, changes{Events: l, Revision: at})
			return
		}
		select {
		case <-changed:
		case <-t.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// change creates, replaces or deletes one object. With the fault LostAnswersPerMille it carries out
// some changes without answering them.
func (v Handler) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	b, err := io.ReadAll(io.LimitReader(r.Body, maximumBodyBytes))
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
	if v.Store.losesAnswer() {
		panic(http.ErrAbortHandler)
	}
	answer(w, status, n)
}

// apply makes one change. It returns a conflict if the object to create exists or the revision is not
// the current one, and not found if the object to change does not exist.
func (s *Store) apply(method, kind, name string, o object) (int, object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.kinds[kind][name]
	switch {
	case method == http.MethodPost && exists:
		return http.StatusConflict, old
	case method != http.MethodPost && !exists:
		return http.StatusNotFound, object{}
	case o.Meta.Revision != 0 && o.Meta.Revision != old.Meta.Revision:
		return http.StatusConflict, old
	case method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, old
	}
	return http.StatusOK, s.set(kind, name, o.Spec)
}

// promotion is the body of a promotion request.
type promotion struct {
	Backend string `json:"backend"`
	ID      string `json:"id"`
}

// promote carries out a promotion with the fencing token of the request's header, and answers a conflict
// if it is refused.
func (v Handler) promote(w http.ResponseWriter, r *http.Request) {
	var o promotion
	if json.NewDecoder(io.LimitReader(r.Body, maximumBodyBytes)).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	token, err := strconv.ParseUint(r.Header.Get("X-Cuminwick-Fencing-Token"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch err := v.Store.Promote(o.Backend, o.ID, r.Header.Get("X-Cuminwick-Lease-Holder"), token); {
	case errors.Is(err, ErrUnanswered):
		<-r.Context().Done()
	case err != nil:
		w.WriteHeader(http.StatusConflict)
	default:
		w.WriteHeader(http.StatusOK)
	}
}
