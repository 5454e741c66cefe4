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

// Securer makes the TLS configurations of one entry host. Both functions are
// asked at each handshake, so that renewed files are taken up.
type Securer struct {
	Certificate func() *tls.Certificate
	// Authority holds who may sign certificates of entry hosts.
	Authority func() *x509.CertPool
}

// Server returns the configuration for accepting peers.
func (s *Securer) Server() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{encoder.Protocol},
		GetConfigForClient: s.forClient,
	}
}

func (s *Securer) forClient(*tls.ClientHelloInfo) (*tls.Config, error) {
	c := &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{encoder.Protocol},
		Certificates: []tls.Certificate{*s.Certificate()},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    s.Authority(),
	}
	return c, nil
}

// Client returns the configuration for dialing host; its certificate must
// bear that name.
func (s *Securer) Client(host string) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{encoder.Protocol},
		Certificates: []tls.Certificate{*s.Certificate()},
		RootCAs:      s.Authority(),
		ServerName:   host,
	}
}

// ClientForAnyHost returns the configuration for dialing an address whose host name
// isn't known yet. The certificate must be the authority's all the same; the
// caller learns the name from Identity.
func (s *Securer) ClientForAnyHost() *tls.Config {
	c := s.Client("")
	// The library's own check would ask for a name. Without VerifyConnection a
	// stranger at the address could pass for an entry host; it checks the rest.
	c.InsecureSkipVerify = true
	c.VerifyConnection = s.verify
	return c
}

func (s *Securer) verify(t tls.ConnectionState) error {
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

// Identity returns the host that the peer's verified certificate names.
func Identity(t tls.ConnectionState) (string, error) {
	if len(t.PeerCertificates) == 0 || len(t.PeerCertificates[0].DNSNames) == 0 {
		return "", errors.Trace(ErrNoIdentity)
	}
	return t.PeerCertificates[0].DNSNames[0], nil
}
