package runner

import (
	"context"

	"github.com/cuminwick/cuminwick/internal/group/driver"
	"github.com/cuminwick/cuminwick/internal/group/switcher"
	"github.com/cuminwick/cuminwick/internal/peer/dialer"
	"github.com/cuminwick/cuminwick/internal/peer/witness"
)

// assembleWitness creates the witness, which requests the reports of other hosts on a primary
// before a group promotes another server.
func (p *peers) assembleWitness() {
	p.witness = &witness.Witness{
		Self:         p.host.Settings.HostName,
		ServingHosts: p.servingHosts,
		Groups:       p.host.reconciler.drivenGroups,
		Ask:          p.askReport,
		Clock:        p.host.Clock,
	}
	p.listener.Routes = append(p.listener.Routes, p.witness.Route())
}

// askReport requests a host's report on a primary.
func (p *peers) askReport(ctx context.Context, host string, q witness.Question) (witness.Answer, error) {
	return dialer.Call[witness.Question, witness.Answer](ctx, p.dialer, host, witness.Kind, q)
}

// drivenGroups returns the groups for which this host runs a driver, by name.
func (r *reconciler) drivenGroups() map[string]witness.Group {
	l := make(map[string]witness.Group)
	if t := r.host.director.Runtime(); t != nil {
		for n, g := range t.Groups {
			if s, ok := g.Driver.(*switcher.Switcher); ok && s.Driver() != nil {
				l[n] = s.Driver()
			}
		}
	}
	return l
}

// driverPeers returns the source of reports of other hosts on a primary, nil for a host without
// peers.
func (r *reconciler) driverPeers() driver.Peers {
	if r.host.peers == nil {
		return nil
	}
	return r.host.peers.witness
}
