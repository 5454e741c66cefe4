package server

import (
	"context"
	"time"
)

// requestContext ends with the caller's cancel, its disconnection or the request's
// timeout. One context of the standard library for the cancel and another one
// inside it for the deadline would be twice as many objects for each request.
type requestContext struct {
	context.Context

	deadline time.Time
	cancel   context.CancelCauseFunc
	timer    *time.Timer
}

// Deadline implements context.Context.
func (c *requestContext) Deadline() (time.Time, bool) {
	return c.deadline, true
}

func (c *requestContext) expire() {
	c.cancel(context.DeadlineExceeded)
}

// startRequest makes the context of the request that begins.
func (s *Session) startRequest() *requestContext {
	t := s.timeout()
	c := &requestContext{deadline: time.Now().Add(t)}
	c.Context, c.cancel = context.WithCancelCause(s.ctx)
	c.timer = time.AfterFunc(t, c.expire)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel = c.cancel
	return c
}

// endRequest ends what startRequest made.
func (s *Session) endRequest(c *requestContext) {
	s.mu.Lock()
	s.cancel = nil
	s.mu.Unlock()
	c.timer.Stop()
	c.cancel(nil)
}
