package server

import (
	"context"
	"time"
)

// requestContext ends when the caller cancels the request or disconnects, or at the request's
// timeout. Nested contexts of the standard library, one for the cancel and one for the deadline,
// would allocate twice as many objects for each request.
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

// startRequest returns the context of a new request and makes it the one that Cancel cancels.
func (s *Session) startRequest() *requestContext {
	t := s.timeout()
	c := &requestContext{deadline: time.Now().Add(t)}
	c.Context, c.cancel = context.WithCancelCause(s.ctx)
	c.timer = time.AfterFunc(t, c.expire)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelRequest = c.cancel
	return c
}

// endRequest releases the context of a request.
func (s *Session) endRequest(c *requestContext) {
	s.mu.Lock()
	s.cancelRequest = nil
	s.mu.Unlock()
	c.timer.Stop()
	c.cancel(nil)
}
