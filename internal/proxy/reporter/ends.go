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

// SessionEnd counts the end of a session, and logs it if the connection didn't end between two messages.
func (o *Reporter) SessionEnd(e executor.SessionEnd) {
	cause := endCauses[e.Cause]
	o.Metrics.ends.WithLabelValues(cause).Inc()
	switch e.Cause {
	case executor.EndCut, executor.EndMalformed, executor.EndTooLong, executor.EndUnread:
		l := &log.Logger{Handler: o.Lines, Level: log.InfoLevel}
		l.WithFields(log.Fields{"cause": cause, "database": e.Database}).WithError(e.Err).Warn("session ended")
	}
}
