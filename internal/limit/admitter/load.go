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
	// ServiceTime is the average service time, and ServiceTimes that by level, zero for the average.
	ServiceTime  time.Duration
	ServiceTimes [LevelCount]time.Duration
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
	l := Load{
		Slots: q.Slots, Running: q.running, Transactions: q.waiting[ClassTransaction],
		ServiceTime: q.ServiceTime(), ServiceTimes: q.serviceTimes,
	}
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

// ExpectedWait returns the expected wait of a further request of a level, by the rules of the queue and
// without its margins. The request waits for all more important ones as far as its level has no reserved
// grants, and for those of its own level as far as its team's share doesn't let it go before them.
func (l *Load) ExpectedWait(level int) time.Duration {
	if l.Slots <= 0 {
		return 0
	}
	place, above := l.ahead(level), sum(l.WaitingByLevel[:level])
	n, extra := place+above, time.Duration(place)*l.extraTime(level)
	for k, w := range l.WaitingByLevel[:level] {
		extra += time.Duration(w) * l.extraTime(k)
	}
	if m := (place+1)*reservedInterval*passedLevels(l.WaitingByLevel[:], level) - 1; above > 0 && m < n {
		n, extra = m, 0
	}
	n += l.Transactions + l.Running + 1 - l.Slots
	if n <= 0 {
		return 0
	}
	return max(0, time.Duration(n)*l.ServiceTime+extra) / time.Duration(l.Slots)
}

// ahead returns how many requests of its own level a request waits for. If most of the waiting requests
// belong to one team, those of other teams wait for one request of each team only.
func (l *Load) ahead(level int) int {
	if l.Teams > 0 && 2*l.LongestTeam >= sum(l.WaitingByLevel[:]) {
		return min(l.WaitingByLevel[level], l.Teams)
	}
	return l.WaitingByLevel[level]
}

// extraTime returns by how much the service time of a level is above the average of all requests.
func (l *Load) extraTime(level int) time.Duration {
	if t := l.ServiceTimes[level]; t > 0 {
		return t - l.ServiceTime
	}
	return 0
}
