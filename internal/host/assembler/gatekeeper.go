package assembler

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/caller/authenticator"
	"github.com/cuminwick/cuminwick/internal/config/follower"
	"github.com/cuminwick/cuminwick/internal/host/runner"
	"github.com/cuminwick/cuminwick/internal/member/declarer"
)

// gatekeeper lets callers in by the roles of the configuration in force.
type gatekeeper struct {
	source        *follower.Host
	authenticator authenticator.Authenticator
}

// Authenticate implements the caller listener's Authenticator.
func (g *gatekeeper) Authenticate(_ context.Context, n net.Conn, parameters map[string]string) error {
	_, f := g.source.Current()
	if f == nil {
		return errors.Annotate(runner.ErrNotReady, "authenticate caller")
	}
	_, err := g.authenticator.Authenticate(authenticator.Connection{Conn: n}, f, parameters["user"], n.RemoteAddr().String(), time.Now())
	return err
}

// peers returns the live peers, those of the same availability zone first.
func (a *Assembler) peers() []string {
	var near, far []string
	for _, m := range a.Host.MemberView().Members {
		switch {
		case m.Host == a.Settings.HostName || m.State == declarer.Dead:
		case m.AvailabilityZone == a.Settings.AvailabilityZone:
			near = append(near, m.Host)
		default:
			far = append(far, m.Host)
		}
	}
	return append(near, far...)
}
