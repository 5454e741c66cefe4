package admitter

import "time"

// Load is the state of a queue, as far as it determines the wait of further requests.
type Load struct {
	Slots   int
	Running int
	// Transactions is the number of waiting statements of open transactions, and WaitingByLevel that of
	// the other waiting requests by Importance.Level. Those beyond the entitlement of their team aren't
	// counted, as they wait until no others do.
	Transactions   int
	WaitingByLevel [LevelCount]int
	// Teams is the number of teams with requests in WaitingByLevel, and LongestTeam the number of those
	// requests that belong to the team with the most.
	Teams       int
	LongestTeam int
	ServiceTime time.Duration
}

// Tolerance returns the longest wait with which the entry was acceptable when it arrived, if it then runs
// for so long; false if any wait was.
func (e *Entry) Tolerance(run time.Duration) (time.Duration, bool) {
	switch {
	case e.Objective != 0 && e.Deadline != 0:
		return min(e.Objective, e.Deadline-run) - e.arrivedAt, true
	case e.Objective != 0:
		return e.Objective - e.arrivedAt, true
	case e.Deadline != 0:
		return e.Deadline - run - e.arrivedAt, true
	}
	return 0, false
}

// Load returns the present state. It visits each waiting team, so that it is for refusals rather than for
// each request.
func (q *Queue) Load() Load {
	l := Load{Slots: q.Slots, Running: q.running, Transactions: q.waiting[ClassTransaction], ServiceTime: q.ServiceTime()}
	for _, t := range q.waitingTeams {
		n := 0
		for i, w := range t.queuedAt[:LevelCount] {
			l.WaitingByLevel[i] += w
			n += w
		}
		if n > 0 {
			l.Teams++
			l.LongestTeam = max(l.LongestTeam, n)
		}
	}
	return l
}
