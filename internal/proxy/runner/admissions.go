package runner

import (
	"github.com/apex/log"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/limit/forecaster"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// admissions logs and counts the requests that this host refuses by another host's forecast. It implements
// connpooler.AdmissionObserver.
type admissions struct {
	log     log.Interface
	counter Counter
}

func (a *admissions) NotAdmitted(_ declarer.Server, i admitter.Importance) {
	a.counter.NotAdmitted(i.Level())
}

func (a *admissions) RefusalsBegan(s declarer.Server, f forecaster.Forecast) {
	a.log.WithField("server", s.ID).WithField("database-group", s.Group).WithField("admits", int(f.Admits)).
		WithField("for", f.For.String()).Info("requests not admitted by forecast")
}

func (a *admissions) RefusalsEnded(s declarer.Server, refused int) {
	a.log.WithField("server", s.ID).WithField("database-group", s.Group).WithField("refused", refused).
		Info("requests admitted again")
}
