package storekeeper

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// maximumWait limits the duration of one watch request; the client repeats the request after it.
const maximumWait = 60 * time.Second

// maximumBodyBytes is large enough for a value in base64 and the other fields of an object.
const maximumBodyBytes = 2 * accessor.MaximumValueBytes

// Handler serves the store under /objects, /watches and /hosts, and its fault settings, call counts
// and hosts under /admin.
func (s *Store) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /objects/{kind}", s.serveList)
	m.HandleFunc("GET /objects/{kind}/{name}", s.serveGet)
	m.HandleFunc("PUT /objects/{kind}/{name}", s.servePut)
	m.HandleFunc("GET /watches/{kind}/{name}", s.serveWatch)
	m.HandleFunc("GET /hosts", s.serveHosts)
	m.HandleFunc("GET /admin/calls", s.serveCalls)
	m.HandleFunc("GET /admin/faults", s.serveFaults)
	m.HandleFunc("PUT /admin/faults", s.serveSetFaults)
	m.HandleFunc("PUT /admin/hosts/{name}", s.serveSetHost)
	m.HandleFunc("DELETE /admin/hosts/{name}", s.serveRemoveHost)
	return m
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	l, err := s.List(r.Context(), r.PathValue("kind"))
	answer(w, l, err)
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	o, err := s.Get(r.Context(), r.PathValue("kind"), r.PathValue("name"))
	answer(w, o, err)
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	var o accessor.Object
	if !decode(w, r, &o) {
		return
	}
	o.Kind = r.PathValue("kind")
	o.Name = r.PathValue("name")
	o, err := s.Put(r.Context(), o)
	answer(w, o, err)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: expected a version", http.StatusBadRequest)
		return
	}
	d, err := time.ParseDuration(q.Get("wait"))
	if err != nil || d > maximumWait {
		d = maximumWait
	}
	o, err := s.watch(r.Context(), r.PathValue("kind"), r.PathValue("name"), accessor.Version(after), d)
	answer(w, o, err)
}

func (s *Store) serveHosts(w http.ResponseWriter, r *http.Request) {
	l, err := s.Hosts(r.Context())
	answer(w, l, err)
}

func (s *Store) serveCalls(w http.ResponseWriter, _ *http.Request) {
	answer(w, s.Calls(), nil)
}

func (s *Store) serveFaults(w http.ResponseWriter, _ *http.Request) {
	answer(w, s.Faults(), nil)
}

func (s *Store) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !decode(w, r, &f) {
		return
	}
	s.SetFaults(f)
	answer(w, f, nil)
}

func (s *Store) serveSetHost(w http.ResponseWriter, r *http.Request) {
	var h accessor.Host
	if !decode(w, r, &h) {
		return
	}
	h.Name = r.PathValue("name")
	s.SetHost(h)
	answer(w, h, nil)
}

func (s *Store) serveRemoveHost(w http.ResponseWriter, r *http.Request) {
	s.RemoveHost(r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}

// decode decodes the JSON body into v. If that fails, it answers with an error and returns false.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	b := http.MaxBytesReader(w, r.Body, maximumBodyBytes)
	err := json.NewDecoder(b).Decode(v)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return false
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// answer sends v as JSON, or the status and text for err. For ErrAnswerLost it closes the connection
// without an answer.
func answer(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		// An encoding error means that the client has disconnected, so it cannot be reported.
		_ = json.NewEncoder(w).Encode(v)
	case errors.Is(err, ErrAnswerLost):
		panic(http.ErrAbortHandler)
	case errors.Is(err, accessor.ErrUnchanged):
		w.WriteHeader(http.StatusNoContent)
	default:
		http.Error(w, err.Error(), statusCode(err))
	}
}

// statusCode returns the HTTP status for an error of the store.
func statusCode(err error) int {
	switch {
	case errors.Is(err, accessor.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, accessor.ErrConflict):
		return http.StatusConflict
	case errors.Is(err, accessor.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	default:
		return http.StatusServiceUnavailable
	}
}
