package storekeeper

import "time"

// Faults are the settable faults of the stand-in.
type Faults struct {
	// Outage makes every call fail, waiting watches included.
	Outage bool `json:"outage"`
	// Latency is added before each call takes effect.
	Latency time.Duration `json:"latency-nanoseconds"`
	// LoseAnswers is how many of the next puts take effect without an answer.
	LoseAnswers int `json:"lose-answers"`
	// HostListLag is how far the host list lags behind the truth.
	HostListLag time.Duration `json:"host-list-lag-nanoseconds"`
}

// SetFaults replaces all fault settings.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wakeWatches()
}

// Faults returns the present fault settings.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetOutage starts or ends an outage.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.Outage = on
	s.wakeWatches()
}

// SetLatency delays each call by d.
func (s *Store) SetLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.Latency = d
}

// LoseAnswers lets the next n puts take effect without an answer.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.LoseAnswers = n
}

// SetHostListLag lets the host list lag by d.
func (s *Store) SetHostListLag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.HostListLag = d
}
