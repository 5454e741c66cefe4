package cachesyncer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// call is a call to the store for a kind of object.
type call struct {
	kind  string
	began time.Duration
	// brief is set if calls for other kinds of object wait for the result: the store is to answer at once.
	brief bool
	// ctx ends with errSuperseded if the store answers later calls after a loss, and cancel ends it.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// receiving is set once a part of the answer has arrived.
	receiving atomic.Bool
}

// recordProgress records that a part of the answer has arrived.
func (c *call) recordProgress() { c.receiving.Store(true) }

// errSuperseded means that a call was given up since it is from before a loss of the store that is over.
const errSuperseded = errors.ConstError("call is from before a loss of the store")

// isSuperseded reports whether the call was given up, so that it is to be made again.
func (c *call) isSuperseded() bool { return errors.Is(context.Cause(c.ctx), errSuperseded) }

// pendingResult is the result of a call in progress.
type pendingResult struct {
	// ended is closed when the call has ended, nil if there is no result to wait for, and wait is how long to wait.
	ended <-chan struct{}
	wait  time.Duration
}
