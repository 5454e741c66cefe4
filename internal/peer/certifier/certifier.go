// Package certifier makes a certificate authority and certificates for the demo and for tests.
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

// Authority signs certificates. It is made anew for each demo; a deployment
// brings its own.
type Authority struct {
	Certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// serialBits is the size of a random serial number.
const serialBits = 120

// New makes an authority whose certificates are valid from shortly before now
// for the given time.
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

// template is a certificate without its purpose.
func template(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	n, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Annotate(err, "make serial number")
	}
	t := &x509.Certificate{
		SerialNumber: n,
		Subject:      pkix.Name{CommonName: name},
		// A host whose clock is a little behind must accept it too.
		NotBefore: now.Add(-time.Hour),
		NotAfter:  now.Add(validity),
	}
	return t, nil
}

// Issue makes a certificate for both sides of a connection. Names are host
// names or IP addresses; the first one is whom it identifies.
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

// Pool returns the authority as the only trusted one.
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

// WriteFiles writes the authority's certificate and c, with its key, into dir.
func (a *Authority) WriteFiles(dir string, c tls.Certificate) error {
	k, err := x509.MarshalPKCS8PrivateKey(c.PrivateKey)
	if err != nil {
		return errors.Annotate(err, "encode key")
	}
	if err := write(dir, AuthorityFile, "CERTIFICATE", a.Certificate.Raw); err != nil {
		return err
	}
	if err := write(dir, CertificateFile, "CERTIFICATE", c.Certificate[0]); err != nil {
		return err
	}
	return write(dir, KeyFile, "PRIVATE KEY", k)
}

func write(dir, name, kind string, data []byte) error {
	b := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data})
	err := os.WriteFile(filepath.Join(dir, name), b, 0o600)
	return errors.Annotatef(err, "write %s", name)
}
