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

// certificateValidity is longer than any deployment on loopback runs.
const certificateValidity = 24 * time.Hour

// configurePeers sets the certificate and the member list by which h communicates with the other
// hosts.
func (d *Deployment) configurePeers(h *runner.Host) error {
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
		d.enableGossip(h)
		return nil
	}
	h.Members = d.Roster
	if d.Members != nil {
		h.Members = d.Members(h.Settings.HostName, d.Roster)
	}
	return nil
}

// enableGossip makes h discover the other hosts by heartbeats, with all hosts that run already as
// seeds.
func (d *Deployment) enableGossip(h *runner.Host) {
	h.Gossip = true
	for _, o := range d.Hosts {
		h.Settings.Peers.Seeds = append(h.Settings.Peers.Seeds, o.PeerAddress())
	}
}

// identity holds the certificate of one entry host and the authority that signs those of all.
type identity struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// Certificate returns the host's certificate with its key.
func (i *identity) Certificate() *tls.Certificate { return &i.certificate }

// Authority returns the authorities that may sign certificates of entry hosts.
func (i *identity) Authority() *x509.CertPool { return i.authority }

// register adds h to Roster.
func (d *Deployment) register(h *runner.Host) {
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
