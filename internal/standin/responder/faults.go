package responder

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/standin/injector"
	"github.com/cuminwick/cuminwick/internal/standin/replicator"
)

// Fault is the JSON body of POST /fault. Absent keys change nothing; true sets a fault, false
// clears it.
type Fault struct {
	// ReplicationLag is how long the server, as a replica, delays each record, such as 200ms.
	ReplicationLag     *string `json:"replication-lag,omitempty"`
	ReplicationStopped *bool   `json:"replication-stopped,omitempty"`
	Paused             *bool   `json:"paused,omitempty"`
	Isolated           *bool   `json:"isolated,omitempty"`
	Leaving            *bool   `json:"leaving,omitempty"`
	// CommitFailure is the error that answers the next commit of a transaction with changes.
	CommitFailure *CommitFailure `json:"commit-failure,omitempty"`
	// Crashed true closes all connections and the listener, false restarts with the log kept.
	Crashed *bool `json:"crashed,omitempty"`
}

// CommitFailure is the JSON form of injector.CommitFailure.
type CommitFailure struct {
	SQLState string `json:"sqlstate"`
	// Committed says that the transaction is committed although an error is answered.
	Committed bool `json:"lasts"`
}

// FailCommit sets the error that answers the next commit of a transaction with changes.
func (s *Server) FailCommit(f injector.CommitFailure) {
	s.faults.Change(func(g *injector.Settings) { g.CommitFailure = f })
}

// RepeatAnswers makes the server send one of every n answers once more, after at most d; zero for n
// ends that.
func (s *Server) RepeatAnswers(n int, d time.Duration) {
	s.faults.Change(func(f *injector.Settings) { f.Repetition = injector.Repetition{Every: n, MaximumDelay: d} })
}

// RepeatedAnswers returns the number of answers that were sent twice.
func (s *Server) RepeatedAnswers() int64 {
	return s.repeated.Load()
}

// SetReplicationLag sets how long the server, as a replica, delays each record before it applies it.
func (s *Server) SetReplicationLag(d time.Duration) {
	s.faults.Change(func(f *injector.Settings) { f.ReplicationLag = d })
}

// StopReplication stops the server, as a replica, from applying records, or lets it continue.
func (s *Server) StopReplication(on bool) {
	s.faults.Change(func(f *injector.Settings) { f.ReplicationStopped = on })
}

// Pause makes the server behave like a stopped process, or lets it continue: while it is paused,
// connections stay open, nothing is answered and time passes.
func (s *Server) Pause(on bool) {
	s.faults.Change(func(f *injector.Settings) { f.Paused = on })
}

// Isolate disconnects the server from its peers, or reconnects it; clients still reach it.
func (s *Server) Isolate(on bool) {
	s.faults.Change(func(f *injector.Settings) { f.Isolated = on })
}

// ReportLeaving sets whether the server's status says that it will stop soon.
func (s *Server) ReportLeaving(on bool) {
	s.Store().SetLeaving(on)
}

// Crash closes all connections and the listener; the log is kept. It returns once nothing is answered:
// on a busy machine the server would otherwise continue to answer for a while, and the caller of Crash
// would observe a running server.
func (s *Server) Crash() {
	if e := s.beginCrash(); e != nil {
		<-e
	}
}

// beginCrash starts a crash and returns a channel that is closed at its end, nil if the server does not
// run or has crashed already.
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

// Restart starts a crashed server again at its address; otherwise it does nothing.
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

// Dump returns the server's tables and log.
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

// Inject sets or clears the faults that f contains. It returns an error for a malformed duration.
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

// setIfPresent calls f with the value unless it is absent.
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
	// An encoding error means that the client has disconnected, so it cannot be reported.
	_ = json.NewEncoder(w).Encode(s.Dump())
}
