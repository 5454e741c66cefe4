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

// callerAuthenticator authenticates callers by the roles of the configuration in force.
type callerAuthenticator struct {
	configuration *follower.Host
	authenticator authenticator.Authenticator
}

// Authenticate implements the caller listener's Authenticator. It returns an error that wraps
// runner.ErrNotReady before the first configuration is in force.
func (g *callerAuthenticator) Authenticate(_ context.Context, n net.Conn, parameters map[string]string) error {
	_, f := g.configuration.Current()
	if f == nil {
		return errors.Annotate(runner.ErrNotReady, "authenticate caller")
	}
	_, err := g.authenticator.Authenticate(authenticator.Connection{Conn: n}, f, parameters["user"], n.RemoteAddr().String(), time.Now())
	return err
}

// livePeers returns the peers that aren't dead, those of the same availability zone first.
func (a *Assembler) livePeers() []string {
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
