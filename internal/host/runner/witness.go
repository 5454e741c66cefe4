package runner

import (
	"context"

	"github.com/cuminwick/cuminwick/internal/group/driver"
	"github.com/cuminwick/cuminwick/internal/group/switcher"
	"github.com/cuminwick/cuminwick/internal/peer/dialer"
	"github.com/cuminwick/cuminwick/internal/peer/witness"
)

// assembleWitness lets groups hear other hosts' word before they promote.
func (p *peers) assembleWitness() {
	p.witness = &witness.Witness{
		Self:         p.host.Settings.HostName,
		ServingHosts: p.servingHosts,
		Groups:       p.host.reconciler.witnessed,
		Ask:          p.askWord,
		Clock:        p.host.Clock,
	}
	p.listener.Routes = append(p.listener.Routes, p.witness.Route())
}

func (p *peers) askWord(ctx context.Context, host string, q witness.Question) (witness.Answer, error) {
	return dialer.Call[witness.Question, witness.Answer](ctx, p.dialer, host, witness.Kind, q)
}

// witnessed returns the groups that this host runs a driver for, by name.
func (r *reconciler) witnessed() map[string]witness.Group {
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

// driverPeers returns who else has a word on a primary, nil for a host alone.
func (r *reconciler) driverPeers() driver.Peers {
	if r.host.peers == nil {
		return nil
	}
	return r.host.peers.witness
}
