package admitter

import "time"

const (
	// entitlementWindow is the time over which a team's use of slots is compared with its
	// entitlement, as requests come in groups.
	entitlementWindow = time.Second
	// entitlementSlack is added to an entitlement as its inverse: where all teams use what they are
	// entitled to, none of them is over it by chance.
	entitlementSlack = 8
	// minimumEntitled is the number of requests that a team may have at a time however small its
	// share is. Groups of eight come by chance where a team sends a few requests a second.
	minimumEntitled = 12
)

// usage is the use that a team makes of its entitlement.
type usage struct {
	share int
	// credit is the slot time that the team may use at present without exceeding its entitlement,
	// as of the time at. Slot time lent to it, beyond its entitlement, is not deducted.
	credit, at time.Duration
}

// SetTeams replaces Teams, applies the new limits, and makes the shares entitlements, unless there are none:
// a team is entitled to its part of the slots, and its requests beyond that come after those of the teams
// that are within theirs, unless they are of the most important level. Otherwise one team that sends many
// requests of one level would leave no slot to the less important ones of all others.
//
// The slot time that each team has had beyond that of the queue is converted to its new share. Otherwise, a
// change from small shares to large ones would leave it in the old unit, and the team would be passed over
// for many times the slot time that it has had.
func (q *Queue) SetTeams(teams map[string]TeamLimit, now time.Duration) {
	q.Teams = teams
	for _, t := range q.teams {
		from, to := t.share, max(1, teams[t.name].Share)
		t.virtualTime = converted(t.virtualTime, q.virtualTime, from, to)
		for l := range t.virtualTimes {
			t.virtualTimes[l] = converted(t.virtualTimes[l], q.virtualTimes[l], from, to)
		}
	}
	q.setUsages(now)
	q.Adjust(now)
}

// setUsages sets the entitlements to the shares of Teams. Teams that had one keep their credit.
func (q *Queue) setUsages(now time.Duration) {
	old := q.usages
	if len(q.Teams) == 0 {
		q.usages = nil
		for _, t := range q.teams {
			t.usage = nil
		}
		return
	}
	q.usages, q.entitledShares = make(map[string]*usage, len(q.Teams)), 0
	for n, l := range q.Teams {
		q.entitledShares += max(1, l.Share)
		u := old[n]
		if u == nil {
			u = &usage{at: now}
		}
		u.share = max(1, l.Share)
		q.usages[n] = u
	}
	for n, u := range q.usages {
		if old[n] == nil {
			u.credit = q.maximumCredit(u)
		}
	}
	for _, t := range q.teams {
		t.usage = q.usages[t.name]
	}
}

// converted returns the virtual time of a team whose share changes while that of the queue is base.
func converted(virtual, base time.Duration, from, to int) time.Duration {
	return base + (virtual-base)*time.Duration(from)/time.Duration(to)
}

// entitled returns the slot time that a team is entitled to within d.
func (q *Queue) entitled(u *usage, d time.Duration) time.Duration {
	part := float64(u.share) / float64(q.entitledShares)
	return time.Duration(part * float64(q.Slots) * float64(d) * (1 + 1.0/entitlementSlack))
}

func (q *Queue) maximumCredit(u *usage) time.Duration {
	return max(q.entitled(u, entitlementWindow), minimumEntitled*q.ServiceTime())
}

// levelOf returns the level of e in the order of the queue: that of its importance, or the same level of
// the second half if its team has more requests than it is entitled to.
func (q *Queue) levelOf(e *Entry, now time.Duration) uint8 {
	l := e.Importance.Level()
	u := e.team.usage
	if l == 0 || u == nil || e.Class == ClassTransaction || e.HoldsConnection {
		return l
	}
	q.refill(u, now)
	pending := sum(e.team.queuedAt[:LevelCount])
	if u.credit > time.Duration(pending)*q.ServiceTime() {
		return l
	}
	return l + LevelCount
}

// refill adds the slot time that a team has become entitled to.
func (q *Queue) refill(u *usage, now time.Duration) {
	u.credit = min(u.credit+q.entitled(u, now-u.at), q.maximumCredit(u))
	u.at = now
}

// use deducts the slot time d of e from the credit of its team.
func (q *Queue) use(e *Entry, d time.Duration) {
	u := e.team.usage
	if u == nil || e.level >= LevelCount {
		return
	}
	// The debt is bounded, as it consists of requests that can't be delayed.
	u.credit = max(u.credit-d, -q.maximumCredit(u))
}
