package reporter

import (
	"github.com/apex/log"

	"github.com/cuminwick/cuminwick/internal/proxy/executor"
)

// endCauses maps the causes of a session's end to their names in logs and metrics.
var endCauses = map[executor.EndCause]string{
	executor.EndClosed:    "closed",
	executor.EndBye:       "bye",
	executor.EndCut:       "cut",
	executor.EndMalformed: "malformed",
	executor.EndTooLong:   "too-long",
	executor.EndUnread:    "unread",
	executor.EndRefused:   "refused",
	executor.EndNoStartup: "no-startup",
	executor.EndStopped:   "stopped",
}

// SessionEnd counts the end of a session, and logs it, up to a rate, if the connection didn't end between two messages.
func (o *Reporter) SessionEnd(e executor.SessionEnd) {
	cause := endCauses[e.Cause]
	o.Metrics.ends.WithLabelValues(cause).Inc()
	switch e.Cause {
	case executor.EndCut, executor.EndMalformed, executor.EndTooLong, executor.EndUnread:
		o.logEnd(e, cause)
	}
}

// maximumLoggedBytes bounds what a line has of a caller's text.
const maximumLoggedBytes = 64

func (o *Reporter) logEnd(e executor.SessionEnd, cause string) {
	skipped, ok := o.ends.admit()
	if !ok {
		return
	}
	f := log.Fields{"cause": cause, "database": e.Database[:min(len(e.Database), maximumLoggedBytes)]}
	if skipped > 0 {
		f["not-logged"] = skipped
	}
	l := &log.Logger{Handler: o.Lines, Level: log.InfoLevel}
	l.WithFields(f).WithError(e.Err).Warn("session ended")
}
