// Package securer sets up mutual TLS between entry hosts.
package securer

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/peer/encoder"
)

// ErrNoIdentity is returned for a certificate that names no host.
const ErrNoIdentity = errors.ConstError("peer certificate names no host")

// Securer makes the TLS configurations of one entry host. Both functions are called for each
// connection, so that renewed files take effect.
type Securer struct {
	// Certificate returns this host's certificate.
	Certificate func() *tls.Certificate
	// Authority returns the authorities that may sign certificates of entry hosts.
	Authority func() *x509.CertPool
}

// Server returns the configuration for accepting peers.
func (s *Securer) Server() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{encoder.Protocol},
		GetConfigForClient: s.configForClient,
	}
}

// configForClient returns the configuration for the handshake with one client.
func (s *Securer) configForClient(*tls.ClientHelloInfo) (*tls.Config, error) {
	c := &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{encoder.Protocol},
		Certificates: []tls.Certificate{*s.Certificate()},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    s.Authority(),
	}
	return c, nil
}

// Client returns the configuration for dialing host. The peer's certificate must be valid for that
// name.
func (s *Securer) Client(host string) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{encoder.Protocol},
		Certificates: []tls.Certificate{*s.Certificate()},
		RootCAs:      s.Authority(),
		ServerName:   host,
	}
}

// ClientForAnyHost returns the configuration for dialing an address whose host name is unknown. The
// peer's certificate must be signed by the authority nevertheless. Identity returns the host's name
// after the handshake.
func (s *Securer) ClientForAnyHost() *tls.Config {
	c := s.Client("")
	// The check of crypto/tls requires a name, so it is disabled. VerifyConnection checks the
	// certificate without a name; otherwise any server at the address would be accepted as an entry
	// host.
	c.InsecureSkipVerify = true
	c.VerifyConnection = s.verifyAnyHost
	return c
}

// verifyAnyHost verifies the peer's certificate chain for any host name.
func (s *Securer) verifyAnyHost(t tls.ConnectionState) error {
	if len(t.PeerCertificates) == 0 {
		return errors.Trace(ErrNoIdentity)
	}
	o := x509.VerifyOptions{
		Roots:         s.Authority(),
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	for _, c := range t.PeerCertificates[1:] {
		o.Intermediates.AddCert(c)
	}
	_, err := t.PeerCertificates[0].Verify(o)
	return errors.Annotate(err, "verify peer certificate")
}

// Identity returns the name of the host in the peer's verified certificate, which is its first DNS
// name. It returns ErrNoIdentity if there is none.
func Identity(t tls.ConnectionState) (string, error) {
	if len(t.PeerCertificates) == 0 || len(t.PeerCertificates[0].DNSNames) == 0 {
		return "", errors.Trace(ErrNoIdentity)
	}
	return t.PeerCertificates[0].DNSNames[0], nil
}
