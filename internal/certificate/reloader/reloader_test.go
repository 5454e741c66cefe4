package reloader

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/peer/certifier"
)

// writeCertificate writes the files of a new authority and of a certificate with this name to dir.
func writeCertificate(t *testing.T, dir, name string) {
	t.Helper()
	a, err := certifier.New("authority", time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	c, err := a.Issue(time.Now(), time.Hour, name, "127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	if err := a.WriteFiles(dir, c); err != nil {
		t.Fatal(err)
	}
}

// servedName returns the common name of the certificate that r serves.
func servedName(t *testing.T, r *Reloader) string {
	t.Helper()
	c, err := r.Config().GetCertificate(nil)
	if err != nil {
		t.Fatal(err)
	}
	return c.Leaf.Subject.CommonName
}

// Guards against failing handshakes while an operator replaces a certificate. The file is read when it
// is only partly written. The previous certificate must stay in use until a complete one is loaded.
func TestBrokenFileKeepsCertificate(t *testing.T) {
	d := t.TempDir()
	r := &Reloader{
		CertificateFile: filepath.Join(d, certifier.CertificateFile),
		KeyFile:         filepath.Join(d, certifier.KeyFile),
		AuthorityFile:   filepath.Join(d, certifier.AuthorityFile),
	}
	writeCertificate(t, d, "first")
	if err := r.Load(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(r.CertificateFile, []byte("-----BEGIN"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := r.Load(); err == nil {
		t.Error("Load accepted a broken file")
	}
	if n := servedName(t, r); n != "first" || r.Authority() == nil {
		t.Errorf("certificate of %s, want the first one kept", n)
	}
	writeCertificate(t, d, "second")
	if err := r.Load(); err != nil {
		t.Fatal(err)
	}
	if n := servedName(t, r); n != "second" {
		t.Errorf("certificate of %s, want the second one", n)
	}
}
