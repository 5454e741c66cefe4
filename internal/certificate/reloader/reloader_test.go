package reloader

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/peer/certifier"
)

func issue(t *testing.T, dir, name string) {
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

func name(t *testing.T, r *Reloader) string {
	t.Helper()
	c, err := r.Config().GetCertificate(nil)
	if err != nil {
		t.Fatal(err)
	}
	return c.Leaf.Subject.CommonName
}

// An operator replaces a certificate and the file is only half written when it
// is read. Callers must go on with the certificate before it.
func TestBrokenFileKeepsCertificate(t *testing.T) {
	d := t.TempDir()
	r := &Reloader{
		CertificateFile: filepath.Join(d, certifier.CertificateFile),
		KeyFile:         filepath.Join(d, certifier.KeyFile),
		AuthorityFile:   filepath.Join(d, certifier.AuthorityFile),
	}
	issue(t, d, "first")
	if err := r.Load(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(r.CertificateFile, []byte("-----BEGIN"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := r.Load(); err == nil {
		t.Error("a broken file was loaded")
	}
	if n := name(t, r); n != "first" || r.Authority() == nil {
		t.Errorf("certificate of %s, want the first one kept", n)
	}
	issue(t, d, "second")
	if err := r.Load(); err != nil {
		t.Fatal(err)
	}
	if n := name(t, r); n != "second" {
		t.Errorf("certificate of %s, want the second one", n)
	}
}
