package assembler

import (
	"context"
	"crypto/tls"

	"github.com/apex/log"

	"github.com/cuminwick/cuminwick/internal/certificate/reloader"
	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/peer/securer"
)

// secureListeners loads the certificates for callers, operators and peers.
func (a *Assembler) secureListeners() error {
	c := &certificates{clock: a.clock, log: a.log}
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

// certificates reads certificate files again from time to time, so that they
// can be renewed without dropping callers.
type certificates struct {
	clock     *scheduler.Scheduler
	log       log.Interface
	reloaders []*reloader.Reloader
}

func (c *certificates) add(r *reloader.Reloader) (*tls.Config, error) {
	if err := r.Load(); err != nil {
		return nil, err
	}
	c.reloaders = append(c.reloaders, r)
	return r.Config(), nil
}

// Run implements the host's Part.
func (c *certificates) Run(ctx context.Context) error {
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

func (c *certificates) reload() {
	for _, r := range c.reloaders {
		if err := r.Load(); err != nil {
			c.log.WithField("step", "reload certificate").WithField("peer", r.CertificateFile).WithError(err).Warn("certificate not renewed")
		}
	}
}
