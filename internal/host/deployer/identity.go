package deployer

import (
	"crypto/tls"
	"crypto/x509"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/host/runner"
	"github.com/cuminwick/cuminwick/internal/peer/securer"
	"github.com/cuminwick/cuminwick/internal/pool/assigner"
)

// certificateValidity outlasts any deployment on loopback.
const certificateValidity = 24 * time.Hour

// secure gives h what it needs to talk to the other hosts.
func (d *Deployment) secure(h *runner.Host) error {
	if d.Standalone {
		return nil
	}
	c, err := d.authority.Issue(time.Now(), certificateValidity, h.Settings.HostName)
	if err != nil {
		return errors.Annotatef(err, "secure entry host %s", h.Settings.HostName)
	}
	i := &identity{certificate: c, authority: d.authority.Pool()}
	h.Securer = &securer.Securer{Certificate: i.Certificate, Authority: i.Authority}
	if d.Gossip {
		d.gossip(h)
		return nil
	}
	h.Members = d.Roster
	if d.Members != nil {
		h.Members = d.Members(h.Settings.HostName, d.Roster)
	}
	return nil
}

// gossip has h find the others, from any that runs already.
func (d *Deployment) gossip(h *runner.Host) {
	h.Gossip = true
	for _, o := range d.Hosts {
		h.Settings.Peers.Seeds = append(h.Settings.Peers.Seeds, o.PeerAddress())
	}
}

// identity is what a securer asks for.
type identity struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// Certificate returns the host's certificate.
func (i *identity) Certificate() *tls.Certificate { return &i.certificate }

// Authority returns who may sign certificates of entry hosts.
func (i *identity) Authority() *x509.CertPool { return i.authority }

// enlist tells all hosts of h.
func (d *Deployment) enlist(h *runner.Host) {
	if d.Standalone {
		return
	}
	m := assigner.Host{
		Name:             h.Settings.HostName,
		AvailabilityZone: h.Settings.AvailabilityZone,
		Region:           h.Settings.Region,
	}
	d.Roster.Set(m, h.PeerAddress())
}
