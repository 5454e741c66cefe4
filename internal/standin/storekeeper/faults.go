package storekeeper

import "time"

// Faults are the fault settings of the stand-in. The zero value sets none.
type Faults struct {
	// Outage makes every call fail with ErrOutage, including watches in progress.
	Outage bool `json:"outage"`
	// Latency is added before each call takes effect.
	Latency time.Duration `json:"latency-nanoseconds"`
	// LoseAnswers is the number of puts to come that take effect but fail with ErrAnswerLost.
	LoseAnswers int `json:"lose-answers"`
	// HostListLag is how long a change of the hosts takes to appear in the host list.
	HostListLag time.Duration `json:"host-list-lag-nanoseconds"`
}

// SetFaults replaces all fault settings.
func (s *Store) SetFaults(f Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = f
	s.wakeWatches()
}

// Faults returns the current fault settings.
func (s *Store) Faults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// SetOutage starts or ends an outage.
func (s *Store) SetOutage(on bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults.Outage = on
	s.wakeWatches()
}

// SetLatency delays each later call by d.
func (s *Store) SetLatency(d time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults.Latency = d
}

// LoseAnswers makes the next n puts take effect but fail with ErrAnswerLost.
func (s *Store) LoseAnswers(n int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults.LoseAnswers = n
}

// SetHostListLag makes changes of the hosts appear in the host list after d.
func (s *Store) SetHostListLag(d time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults.HostListLag = d
}
