package reporter

import (
	"sync"
	"time"

	"github.com/apex/log"
	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/time/rate"
)

const (
	// invalidInterval is after what time the same problem of an object is logged again.
	invalidInterval = 10 * time.Minute
	// rememberedProblems is how many problems are known to be logged.
	rememberedProblems = 256
	// invalidBurst and invalidRefill bound the lines: another writer may change an object at any rate.
	invalidBurst  = 20
	invalidRefill = 10 * time.Second
)

// Effects of an invalid object.
const (
	// EffectSkipped means that the object isn't used.
	EffectSkipped = "skipped"
	// EffectPartial means that the object is used without its invalid entries.
	EffectPartial = "partial"
)

// messages holds the log messages by effect.
var messages = map[string]string{
	EffectSkipped: "invalid object skipped",
	EffectPartial: "object in force without its invalid entries",
}

// InvalidObjects counts the invalid objects of the platform that were read, and logs them at a bounded
// rate. An object is read again with each list. Its exported fields are set before use.
type InvalidObjects struct {
	Log     log.Interface
	Metrics *Metrics

	mu sync.Mutex
	// logged holds when each problem was logged last.
	logged  *lru.Cache[string, time.Time]
	limiter *rate.Limiter
	// suppressed counts the problems that weren't logged as there were too many.
	suppressed int
}

// Report reports an object that was read.
func (x *InvalidObjects) Report(effect string, err error) {
	if x.Metrics != nil {
		x.Metrics.invalid.WithLabelValues(effect).Inc()
	}
	if n, ok := x.admit(effect+" "+err.Error(), time.Now()); ok {
		l := x.Log.WithError(err)
		if n > 0 {
			l = l.WithField("suppressed", n)
		}
		l.Warn(messages[effect])
	}
}

// admit reports whether a problem is to be logged, and how many others weren't since the last one that was.
func (x *InvalidObjects) admit(problem string, now time.Time) (suppressed int, ok bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.logged == nil {
		x.logged, _ = lru.New[string, time.Time](rememberedProblems)
		x.limiter = rate.NewLimiter(rate.Every(invalidRefill), invalidBurst)
	}
	if t, ok := x.logged.Get(problem); ok && now.Sub(t) < invalidInterval {
		return 0, false
	}
	if !x.limiter.AllowN(now, 1) {
		x.suppressed++
		return 0, false
	}
	x.logged.Add(problem, now)
	suppressed, x.suppressed = x.suppressed, 0
	return suppressed, true
}
