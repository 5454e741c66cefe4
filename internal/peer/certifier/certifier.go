// Package certifier issues certificates from its own authority, for the demo and for tests.
package certifier

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"
)

// Authority is a certificate authority. Each run of the demo makes a new one. Deployments use
// certificates of their own authority instead.
type Authority struct {
	// Certificate is the authority's own certificate.
	Certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// serialBits is the size of a random serial number in bits.
const serialBits = 120

// New makes an authority with a self-signed certificate, which is valid from an hour before now
// until validity after now.
func New(name string, now time.Time, validity time.Duration) (*Authority, error) {
	t, err := template(name, now, validity)
	if err != nil {
		return nil, err
	}
	t.IsCA = true
	t.BasicConstraintsValid = true
	t.KeyUsage = x509.KeyUsageCertSign
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Annotate(err, "make key of authority")
	}
	a := &Authority{Certificate: t, key: k}
	c, err := a.sign(t, k)
	if err != nil {
		return nil, err
	}
	a.Certificate = c.Leaf
	return a, nil
}

// template returns a certificate with a serial number, name and validity, and without key usages.
func template(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	n, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Annotate(err, "make serial number")
	}
	t := &x509.Certificate{
		SerialNumber: n,
		Subject:      pkix.Name{CommonName: name},
		// The certificate must also be valid on hosts whose clocks are slow.
		NotBefore: now.Add(-time.Hour),
		NotAfter:  now.Add(validity),
	}
	return t, nil
}

// Issue makes a certificate for TLS clients and servers. The names are host names or IP addresses,
// at least one; the first one is also the common name. The certificate is valid from an hour before
// now until validity after now.
func (a *Authority) Issue(now time.Time, validity time.Duration, names ...string) (tls.Certificate, error) {
	if len(names) == 0 {
		return tls.Certificate{}, errors.New("certificate without a name")
	}
	t, err := template(names[0], now, validity)
	if err != nil {
		return tls.Certificate{}, err
	}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, n := range names {
		if i := net.ParseIP(n); i != nil {
			t.IPAddresses = append(t.IPAddresses, i)
			continue
		}
		t.DNSNames = append(t.DNSNames, n)
	}
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, errors.Annotatef(err, "make key of %s", names[0])
	}
	return a.sign(t, k)
}

// sign signs the template t for the key k.
func (a *Authority) sign(t *x509.Certificate, k *ecdsa.PrivateKey) (tls.Certificate, error) {
	d, err := x509.CreateCertificate(rand.Reader, t, a.Certificate, &k.PublicKey, a.key)
	if err != nil {
		return tls.Certificate{}, errors.Annotatef(err, "sign certificate of %s", t.Subject.CommonName)
	}
	l, err := x509.ParseCertificate(d)
	if err != nil {
		return tls.Certificate{}, errors.Annotatef(err, "parse certificate of %s", t.Subject.CommonName)
	}
	return tls.Certificate{Certificate: [][]byte{d}, PrivateKey: k, Leaf: l}, nil
}

// Pool returns a pool that contains only this authority.
func (a *Authority) Pool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(a.Certificate)
	return p
}

// Names of the files that WriteFiles writes in a directory.
const (
	AuthorityFile   = "authority.crt"
	CertificateFile = "host.crt"
	KeyFile         = "host.key"
)

// WriteFiles writes the authority's certificate, c and the key of c as PEM files into dir.
func (a *Authority) WriteFiles(dir string, c tls.Certificate) error {
	k, err := x509.MarshalPKCS8PrivateKey(c.PrivateKey)
	if err != nil {
		return errors.Annotate(err, "encode key")
	}
	if err := writePEM(dir, AuthorityFile, "CERTIFICATE", a.Certificate.Raw); err != nil {
		return err
	}
	if err := writePEM(dir, CertificateFile, "CERTIFICATE", c.Certificate[0]); err != nil {
		return err
	}
	return writePEM(dir, KeyFile, "PRIVATE KEY", k)
}

// writePEM writes data as a PEM block of the type kind into the file name in dir.
func writePEM(dir, name, kind string, data []byte) error {
	b := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data})
	err := os.WriteFile(filepath.Join(dir, name), b, 0o600)
	return errors.Annotatef(err, "write %s", name)
}
