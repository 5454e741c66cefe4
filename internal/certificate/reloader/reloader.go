// Package reloader loads certificates from files and replaces them without a restart.
package reloader

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"

	"github.com/juju/errors"
)

// Reloader holds a certificate with its key, and the certificate authority that verifies the other
// side's certificate. The exported fields are set before Load.
type Reloader struct {
	CertificateFile string
	KeyFile         string
	// AuthorityFile is optional.
	AuthorityFile string

	loaded atomic.Pointer[contents]
}

// contents holds the contents of the files at one Load.
type contents struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// Load reads the files. If it fails, the previous certificate and authority stay in use, because a
// partly written file must not make handshakes fail.
func (r *Reloader) Load() error {
	c, err := tls.LoadX509KeyPair(r.CertificateFile, r.KeyFile)
	if err != nil {
		return errors.Annotatef(err, "load certificate %s", r.CertificateFile)
	}
	s := &contents{certificate: c}
	if r.AuthorityFile != "" {
		s.authority, err = loadAuthority(r.AuthorityFile)
	}
	if err != nil {
		return err
	}
	r.loaded.Store(s)
	return nil
}

// loadAuthority reads a file of PEM certificates.
func loadAuthority(file string) (*x509.CertPool, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Annotate(err, "load authority")
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(b) {
		return nil, errors.Errorf("no certificate in %s", file)
	}
	return p, nil
}

// Certificate returns the current certificate. Load must have succeeded once.
func (r *Reloader) Certificate() *tls.Certificate {
	return &r.loaded.Load().certificate
}

// Authority returns the current authority, nil if AuthorityFile is empty. Load must have succeeded
// once.
func (r *Reloader) Authority() *x509.CertPool {
	return r.loaded.Load().authority
}

// Config returns the TLS configuration of a server whose clients have no certificates. Each handshake
// uses the certificate of the last successful Load, of which there must have been one.
func (r *Reloader) Config() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: r.getCertificate}
}

func (r *Reloader) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return r.Certificate(), nil
}
