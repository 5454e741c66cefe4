// Package reloader serves certificates from files and takes up new ones without a restart.
package reloader

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"

	"github.com/juju/errors"
)

// Reloader holds the certificate of one pair of files, and the authority that
// the other side's certificate must be from.
type Reloader struct {
	CertificateFile string
	KeyFile         string
	// AuthorityFile is read too if it is set.
	AuthorityFile string

	state atomic.Pointer[state]
}

// state is one reading of the files.
type state struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// Load reads the files. Where that fails the certificate before it stays in
// use: a half-written file must not turn callers away.
func (r *Reloader) Load() error {
	c, err := tls.LoadX509KeyPair(r.CertificateFile, r.KeyFile)
	if err != nil {
		return errors.Annotatef(err, "load certificate %s", r.CertificateFile)
	}
	s := &state{certificate: c}
	if r.AuthorityFile != "" {
		s.authority, err = pool(r.AuthorityFile)
	}
	if err != nil {
		return err
	}
	r.state.Store(s)
	return nil
}

func pool(file string) (*x509.CertPool, error) {
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

// Certificate returns the present certificate.
func (r *Reloader) Certificate() *tls.Certificate {
	return &r.state.Load().certificate
}

// Authority returns the present authority, nil if there is no AuthorityFile.
func (r *Reloader) Authority() *x509.CertPool {
	return r.state.Load().authority
}

// Config returns a server's configuration for clients without certificates;
// handshakes after a Load use what it read. Load must have succeeded once.
func (r *Reloader) Config() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: r.get}
}

func (r *Reloader) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return r.Certificate(), nil
}
