package connpooler

import (
	"sync"
	"time"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/limit/booker"
	"github.com/cuminwick/cuminwick/internal/limit/forecaster"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// AdmissionObserver is told about the requests that a host doesn't send to the owner of a server's
// connections, because of the owner's last forecast. It is called with no lock held.
type AdmissionObserver interface {
	// NotAdmitted is called for each such request.
	NotAdmitted(s declarer.Server, i admitter.Importance)
	// RefusalsBegan is called when a period of such refusals begins, with the forecast, and
	// RefusalsEnded when it ends, with the number of refused requests.
	RefusalsBegan(s declarer.Server, f forecaster.Forecast)
	RefusalsEnded(s declarer.Server, refused int)
}

// admission is the part of a Pool that is in use while requests are ranked.
type admission struct {
	// began is the zero of the clock that the decisions are given.
	began time.Time

	mu sync.Mutex
	// connections and permits compute the forecasts of the two queues of a pool.
	connections, permits forecaster.Forecaster
	// calendar books the retries of requests that either queue refuses. It is nil before the first one: it
	// takes 13 kB, and a host of a large deployment has pools of links to thousands of servers.
	calendar *booker.Calendar
	// board keeps the forecasts of the owner, in a pool of links.
	board forecaster.Board
}

// SetRanked says whether requests have different importance. If they have, refusals carry forecasts and
// booked retry times, and the forecasts of other hosts are applied.
func (p *Pool) SetRanked(ranked bool) {
	a := p.admission.Load()
	switch {
	case ranked && a == nil:
		p.admission.CompareAndSwap(nil, &admission{began: time.Now()})
	case !ranked && a != nil && p.admission.CompareAndSwap(a, nil):
		a.mu.Lock()
		n, ok := a.board.End()
		a.mu.Unlock()
		p.notifyEnded(n, ok)
	}
}

// Ranked reports whether requests have different importance.
func (p *Pool) Ranked() bool { return p.admission.Load() != nil }

// withoutTeams removes the number of teams from a load unless teams are customers. Otherwise each team is
// a database, and its requests have an importance of their own.
func (p *Pool) withoutTeams(l admitter.Load) admitter.Load {
	if !p.ByCustomer {
		l.Teams, l.LongestTeam = 0, 0
	}
	return l
}

// recordOffered records the wait that a request for a connection could accept. The queue knows its
// objective only while the pool is saturated. The caller must hold the mutex.
func (p *Pool) recordOffered(e *admitter.Entry, objective time.Time) {
	a := p.admission.Load()
	if a == nil || p.OnDemand {
		return
	}
	t, _ := e.Tolerance(p.queue.ServiceTime())
	if !objective.IsZero() {
		t = min(t, time.Until(objective))
	}
	a.offered(&a.connections, e.Importance, t)
}

// offered records the wait that a request at the queue that f belongs to could accept.
func (a *admission) offered(f *forecaster.Forecaster, i admitter.Importance, tolerance time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f.Offered(i, tolerance)
}

// complete adds the forecast and the booked retry time to a refusal by the queue that f belongs to, whose
// load is l and in which the request was at the given order.
func (a *admission) complete(r *Refusal, f *forecaster.Forecaster, i admitter.Importance, order uint8, l admitter.Load) {
	full := r.Reason == admitter.ReasonQueueFull
	if !full && r.Reason != admitter.ReasonExpectedWait && r.Reason != admitter.ReasonDeadline {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Since(a.began)
	if a.calendar == nil {
		a.calendar = &booker.Calendar{}
	}
	r.RetryAfter = a.calendar.Book(order, r.RetryAfter, booker.Capacity{Slots: l.Slots, ServiceTime: l.ServiceTime}, now)
	if r.Reason != admitter.ReasonDeadline {
		r.Forecast = f.Refused(forecaster.Refusal{Importance: i, BeyondEntitlement: order >= admitter.LevelCount, QueueFull: full}, l, now)
	}
}

// admit returns a *Refusal if the last forecast of the server's owner says that a request of this
// importance would be refused.
func (p *Pool) admit(i admitter.Importance) (forecaster.Pass, error) {
	a := p.admission.Load()
	if a == nil || !p.OnDemand {
		return forecaster.Pass{}, nil
	}
	a.mu.Lock()
	t, d, ok := a.board.Ask(i, time.Since(a.began))
	begun, f := a.board.Begun(), a.board.Forecast()
	a.mu.Unlock()
	if ok {
		return t, nil
	}
	if o := p.Admissions; o != nil {
		o.NotAdmitted(p.Server, i)
		if begun {
			o.RefusalsBegan(p.Server, f)
		}
	}
	return t, &Refusal{Server: p.Server.ID, Reason: admitter.ReasonNotAdmitted, RetryAfter: d}
}

// cancelPass tells the board that a request that it has admitted got no link.
func (p *Pool) cancelPass(t forecaster.Pass) {
	a := p.admission.Load()
	if a == nil || !t.Counted() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.board.Cancel(t)
}

// applyForecast applies what an answer over a link says about further requests.
func (l *Lease) applyForecast(a *declarer.Answer) {
	x := l.pool.admission.Load()
	if x == nil || a.Forecast.For == 0 && !l.pass.Counted() {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Since(x.began)
	x.board.Update(a.Forecast, now)
	if l.pass.Counted() {
		x.board.Answered(l.pass, !a.Code.FromOwner(), now)
		l.pass = forecaster.Pass{}
	}
}

// Receive reads the next answer. It can be called again after a timeout.
func (l *Lease) Receive(a *declarer.Answer, deadline time.Time) error {
	err := l.Connection.Receive(a, deadline)
	if err == nil && l.pool.OnDemand {
		l.applyForecast(a)
	}
	return err
}

// endRefusals notifies the observer if a period of refusals by forecast has ended.
func (p *Pool) endRefusals(now time.Time) {
	a := p.admission.Load()
	if a == nil {
		return
	}
	a.mu.Lock()
	n, ok := a.board.Ended(now.Sub(a.began))
	a.mu.Unlock()
	p.notifyEnded(n, ok)
}

func (p *Pool) notifyEnded(refused int, ok bool) {
	if ok && p.Admissions != nil {
		p.Admissions.RefusalsEnded(p.Server, refused)
	}
}
