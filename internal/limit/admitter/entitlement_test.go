package admitter

import (
	"testing"
	"time"
)

// Guards against a customer that takes the slots of others with more requests than it is entitled to: they
// come after all others but for the most important ones, also where a reserved grant is due, and run as
// soon as nothing else waits.
func TestRequestsBeyondEntitlementComeLast(t *testing.T) {
	q := Queue{Slots: 1, Length: 1000}
	q.SetTeams(map[string]TeamLimit{"flood": {Share: 1}, "other": {Share: 99}}, 0)
	e := &Entry{Team: "proxy", Class: ClassRead}
	offerAll(&q, e)
	var flood []*Entry
	for range 30 {
		flood = append(flood, &Entry{Team: "flood", Class: ClassRead, Importance: RankedImportance(1, 0)})
	}
	offerAll(&q, flood...)
	important := &Entry{Team: "flood", Class: ClassRead}
	offerAll(&q, important)
	for range 60 {
		offerAll(&q, &Entry{Team: "other", Class: ClassRead, Importance: RankedImportance(1, 0)})
	}
	for range 20 {
		offerAll(&q, &Entry{Team: "other", Class: ClassRead, Importance: RankedImportance(2, 0)})
	}
	if e = serve(t, &q, e, ms); e != important {
		t.Fatalf("the most important request is not granted first, but one of %s", e.Team)
	}
	granted, others := 0, 0
	for n := range len(flood) + 80 {
		e = serve(t, &q, e, time.Duration(n+2)*ms)
		if e.Team == "flood" {
			granted++
			continue
		}
		others++
		if granted == 0 && others > 80/2 || granted > minimumEntitled {
			t.Fatalf("grant %d of the others after %d to the team that is entitled to %d requests", others, granted, minimumEntitled)
		}
	}
	if granted != len(flood) {
		t.Errorf("%d of %d requests of the flood granted while slots were free", granted, len(flood))
	}
}

// Guards against a customer that is held to its entitlement for long after it has sent too many requests.
func TestCreditComesBack(t *testing.T) {
	q := Queue{Slots: 1, Length: 1000}
	q.SetTeams(map[string]TeamLimit{"a": {Share: 1}, "b": {Share: 9}}, 0)
	offer := func(now time.Duration) uint8 {
		e := &Entry{Team: "a", Class: ClassRead, Importance: RankedImportance(1, 0)}
		q.Offer(e, now)
		q.Release(e, now+10*ms)
		return e.level
	}
	now := time.Duration(0)
	put := 0
	for range 30 {
		if offer(now) >= LevelCount {
			put++
		}
		now += 10 * ms
	}
	if put == 0 {
		t.Fatal("no request is beyond the entitlement of a tenth")
	}
	if l := offer(now + time.Second); l >= LevelCount {
		t.Errorf("level %d after a second without requests", l)
	}
}

// Guards against less important requests that are refused although they would be served, as the margin of
// an overload stays in force after it.
func TestMarginGoesBackAfterOverload(t *testing.T) {
	const less = Importance(LevelCount)
	q := Queue{Slots: 1}
	q.caution[less.Level()] = maximumCaution
	now := time.Duration(0)
	for range 20 {
		e := &Entry{Class: ClassRead}
		q.Offer(e, now)
		q.Release(e, now+10*ms)
		now += 100 * ms
	}
	q.Offer(&Entry{Class: ClassRead}, now)
	for range 3 {
		q.Offer(&Entry{Class: ClassRead, Importance: less}, now)
	}
	e := &Entry{Class: ClassRead, Importance: less, Objective: now + 80*ms}
	q.Offer(e, now)
	if e.State != StateWaiting {
		t.Errorf("refused (%s) with a wait of some 50 ms and an objective of 80 ms", e.Reason)
	}
}

// Guards against a customer that is passed over for long after shares have become larger: the slot time
// that it has had would be held against it in the unit of the small shares.
func TestNewSharesKeepTheBalance(t *testing.T) {
	for before := range 4 {
		q := Queue{Slots: 1, Length: 1000}
		e := &Entry{Team: "a", Class: ClassRead}
		offerAll(&q, e)
		for range 200 {
			offerAll(&q, &Entry{Team: "a", Class: ClassRead}, &Entry{Team: "b", Class: ClassRead})
		}
		now := time.Duration(0)
		for range 20 + before {
			now += 10 * ms
			e = serve(t, &q, e, now)
		}
		q.SetTeams(map[string]TeamLimit{"a": {Share: 1000}, "b": {Share: 1000}}, now)
		granted := map[string]int{}
		for range 20 {
			now += 10 * ms
			e = serve(t, &q, e, now)
			granted[e.Team]++
		}
		if granted["a"] < 9 || granted["a"] > 11 {
			t.Errorf("grants after the change of shares: %v, want as many for each", granted)
		}
	}
}
