package responder

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/standin/injector"
	"github.com/cuminwick/cuminwick/internal/standin/replicator"
)

// Fault is the JSON body of a POST to /fault; keys that are absent change nothing.
type Fault struct {
	// ReplicationLag is a duration such as 200ms.
	ReplicationLag     *string `json:"replication-lag,omitempty"`
	ReplicationStopped *bool   `json:"replication-stopped,omitempty"`
	Paused             *bool   `json:"paused,omitempty"`
	Isolated           *bool   `json:"isolated,omitempty"`
	Leaving            *bool   `json:"leaving,omitempty"`
	// CommitFailure answers the next commit that wrote with an error.
	CommitFailure *CommitFailure `json:"commit-failure,omitempty"`
	// Crashed true drops everything, false starts again with the log kept.
	Crashed *bool `json:"crashed,omitempty"`
}

// CommitFailure is the JSON form of a commit's failure.
type CommitFailure struct {
	SQLState string `json:"sqlstate"`
	// Committed says that the commit takes effect all the same.
	Committed bool `json:"lasts"`
}

// FailCommit answers the next commit of a transaction that wrote with an error.
func (s *Server) FailCommit(f injector.CommitFailure) {
	s.faults.Change(func(g *injector.Settings) { g.CommitFailure = f })
}

// SetReplicationLag delays each record that the server takes over as a replica.
func (s *Server) SetReplicationLag(d time.Duration) {
	s.faults.Change(func(f *injector.Settings) { f.ReplicationLag = d })
}

// StopReplication keeps the server from taking over records, or lets it again.
func (s *Server) StopReplication(on bool) {
	s.faults.Change(func(f *injector.Settings) { f.ReplicationStopped = on })
}

// Pause freezes the server, or wakes it: connections stay open, nothing is answered, the clock goes on.
func (s *Server) Pause(on bool) {
	s.faults.Change(func(f *injector.Settings) { f.Paused = on })
}

// Isolate cuts the server off from its peers, or joins it again; callers still reach it.
func (s *Server) Isolate(on bool) {
	s.faults.Change(func(f *injector.Settings) { f.Isolated = on })
}

// ReportLeaving says in the server's status that it will stop soon, or not any more.
func (s *Server) ReportLeaving(on bool) {
	s.Store().SetLeaving(on)
}

// Crash drops all connections and listens no more; the log is kept. It returns once
// nothing is answered any more: on a busy machine the server would otherwise go on
// answering for a while, and look alive to whoever has just crashed it.
func (s *Server) Crash() {
	if e := s.beginCrash(); e != nil {
		<-e
	}
}

// beginCrash returns a channel that closes at the end of the crash, nil if there is
// nothing to crash.
func (s *Server) beginCrash() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopServing == nil || s.crashed {
		return nil
	}
	s.crashed = true
	s.stopServing()
	return s.stopped
}

// Restart starts a crashed server again at its address.
func (s *Server) Restart() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.crashed {
		return
	}
	select {
	case s.restarts <- struct{}{}:
	default:
	}
}

// Dump returns all that the server holds.
func (s *Server) Dump() replicator.Dump {
	return s.Store().Dump()
}

// Handler serves POST /fault and GET /dump.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /fault", s.handleFault)
	m.HandleFunc("GET /dump", s.handleDump)
	return m
}

func (s *Server) handleFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	err := d.Decode(&f)
	if err == nil {
		err = s.Inject(f)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Inject brings about the faults that f names.
func (s *Server) Inject(f Fault) error {
	if f.ReplicationLag != nil {
		d, err := time.ParseDuration(*f.ReplicationLag)
		if err != nil {
			return errors.Annotate(err, "replication-lag")
		}
		s.SetReplicationLag(d)
	}
	setIfPresent(f.ReplicationStopped, s.StopReplication)
	setIfPresent(f.Paused, s.Pause)
	setIfPresent(f.Isolated, s.Isolate)
	setIfPresent(f.Leaving, s.ReportLeaving)
	setIfPresent(f.Crashed, s.setCrashed)
	if c := f.CommitFailure; c != nil {
		s.FailCommit(injector.CommitFailure{Code: c.SQLState, Committed: c.Committed})
	}
	return nil
}

func setIfPresent(v *bool, f func(bool)) {
	if v != nil {
		f(*v)
	}
}

func (s *Server) setCrashed(on bool) {
	if on {
		s.Crash()
		return
	}
	s.Restart()
}

func (s *Server) handleDump(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// A broken connection ends the dump, there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(s.Dump())
}
