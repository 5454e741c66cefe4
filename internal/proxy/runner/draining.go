package runner

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/proxy/executor"
)

const (
	// readinessPropagationDelay is how long the balancer may send new connections after the host
	// has become unready: it polls once a second and acts on the second negative answer.
	readinessPropagationDelay = 2200 * time.Millisecond
	// answerReserve is the part of the grace period that is left when all statements must be answered, and exitReserve the
	// part that is left for the process to exit. In between, a process that wasn't scheduled in time sends its answers.
	answerReserve = 600 * time.Millisecond
	exitReserve   = 200 * time.Millisecond
	// quietTime is how long a session must have been idle before it is ended.
	quietTime = 100 * time.Millisecond
	// drainPollInterval is how often a draining host checks whether all sessions have ended.
	drainPollInterval = 50 * time.Millisecond
)

// plannedStop is a stop of the host in progress.
type plannedStop struct {
	began time.Time
	// initialGrace is the grace period at the beginning, bounds the present bounds.
	initialGrace time.Duration
	bounds       func() Bounds
}

// grace returns the grace period. A shorter one that is set during the stop holds, a longer one doesn't, as the
// process may be killed after either.
func (p *plannedStop) grace() time.Duration { return min(p.initialGrace, p.bounds().Grace) }

// elapsed returns the time since the beginning.
func (p *plannedStop) elapsed() time.Duration { return time.Since(p.began) }

// beginTime returns how long transactions begin.
func (p *plannedStop) beginTime() time.Duration { return p.grace() * 5 / 8 }

// intakeTime returns how long callers and borrowers are taken while something is in progress.
func (p *plannedStop) intakeTime() time.Duration { return p.grace() * 5 / 6 }

// answerBy returns by when all statements must be answered.
func (p *plannedStop) answerBy() time.Time {
	return p.began.Add(p.grace() - answerReserve)
}

// stopTimes returns the times of the stop in progress, false if there is none.
func (h *Host) stopTimes() (executor.StopTimes, bool) {
	p := h.stopping.Load()
	if p == nil {
		return executor.StopTimes{}, false
	}
	return executor.StopTimes{BeginBy: p.began.Add(p.beginTime()), AnswerBy: p.answerBy()}, true
}

// endSession ends a session without a transaction the next time it waits for its caller; once all statements must be
// answered, also one with a transaction.
func (p *plannedStop) endSession(s *executor.Session) {
	if time.Now().Before(p.answerBy()) {
		s.Stop(0)
		return
	}
	s.Terminate()
}

// drain makes the host unready and waits until the balancer sends no more connections. Sessions then end as soon as
// they are idle outside of a transaction. Callers and borrowers are taken until nothing is in progress, or until the
// last sixth of the grace period, which is left for the statements and transactions in progress.
func (h *Host) drain(ctx context.Context) {
	p := &plannedStop{began: time.Now(), initialGrace: h.bounds().Grace, bounds: h.bounds}
	h.stopping.Store(p)
	h.logWork("draining")
	// Without its entry, other hosts borrow from the next owner. Leases that are out may end.
	h.quotas.Leave()
	h.deregister()
	_ = scheduler.Pause(ctx, min(readinessPropagationDelay, p.grace()/2))
	for p.elapsed() < p.intakeTime() && !h.work.CloseIfIdle() {
		h.forEachSession(func(s *executor.Session) { s.Stop(quietTime) })
		if scheduler.Pause(ctx, drainPollInterval) != nil {
			return
		}
	}
	h.closeIntake()
	for p.elapsed() < p.grace()-exitReserve && h.work.Count() > 0 {
		h.forEachSession(p.endSession)
		if scheduler.Pause(ctx, drainPollInterval) != nil {
			return
		}
	}
	h.logWork("drained")
}

// closeIntake refuses new callers, and new work of other hosts.
func (h *Host) closeIntake() {
	h.work.Close()
	h.callers.Close()
	h.Relayer.Listener.Close()
}

// logWork logs a step of a planned stop with the work that is in progress.
func (h *Host) logWork(step string) {
	n := h.SessionCount()
	h.Log.WithFields(log.Fields{
		"sessions": n, "busy-sessions": h.busySessionCount(), "lent": h.work.Count() - n,
		"accepted-while-draining": h.acceptedWhileDraining.Load(),
	}).Info(step)
}
