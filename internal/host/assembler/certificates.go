package assembler

import (
	"context"
	"crypto/tls"

	"github.com/apex/log"

	"github.com/cuminwick/cuminwick/internal/certificate/reloader"
	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/peer/securer"
)

// loadCertificates loads the certificates for the listeners for callers, operators and peers and
// adds their reloader to the host.
func (a *Assembler) loadCertificates() error {
	c := &certificateReloader{clock: a.clock, log: a.log}
	s := a.Settings
	if s.Callers.CertificateFile != "" {
		t, err := c.add(&reloader.Reloader{CertificateFile: s.Callers.CertificateFile, KeyFile: s.Callers.KeyFile})
		if err != nil {
			return err
		}
		a.Host.CallerTLS = func() *tls.Config { return t }
	}
	if s.Administration.CertificateFile != "" {
		t, err := c.add(&reloader.Reloader{CertificateFile: s.Administration.CertificateFile, KeyFile: s.Administration.KeyFile})
		if err != nil {
			return err
		}
		a.Host.AdministrationTLS = t
	}
	p := &reloader.Reloader{
		CertificateFile: s.Peers.CertificateFile,
		KeyFile:         s.Peers.KeyFile,
		AuthorityFile:   s.Peers.AuthorityFile,
	}
	if _, err := c.add(p); err != nil {
		return err
	}
	a.Host.Securer = &securer.Securer{Certificate: p.Certificate, Authority: p.Authority}
	a.Host.Components = append(a.Host.Components, c)
	return nil
}

// certificateReloader periodically reads the certificate files again, so that certificates can be
// renewed without disconnecting callers.
type certificateReloader struct {
	clock     *scheduler.Scheduler
	log       log.Interface
	reloaders []*reloader.Reloader
}

// add loads the files of r and adds r to the ones that are reloaded.
func (c *certificateReloader) add(r *reloader.Reloader) (*tls.Config, error) {
	if err := r.Load(); err != nil {
		return nil, err
	}
	c.reloaders = append(c.reloaders, r)
	return r.Config(), nil
}

// Run implements runner.Component.
func (c *certificateReloader) Run(ctx context.Context) error {
	t, x := c.clock.Ticks(reloadInterval)
	defer x.Cancel()
	for {
		select {
		case <-t:
			c.reload()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (c *certificateReloader) reload() {
	for _, r := range c.reloaders {
		if err := r.Load(); err != nil {
			c.log.WithField("step", "reload certificate").WithField("peer", r.CertificateFile).WithError(err).Warn("certificate not renewed")
		}
	}
}
