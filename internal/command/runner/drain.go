package runner

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/admin/handler"
)

// drain stops an entry host, or moves a primary off a backend server.
type drain struct {
	NoWait        bool   `arg:"--no-wait" help:"return at once instead of waiting until the host has stopped"`
	BackendServer string `arg:"--backend-server" placeholder:"NAME" help:"move the primary of --group off this backend server instead of stopping the host"`
	Group         string `arg:"--group" placeholder:"NAME" help:"database group of --backend-server"`
	administrationFlags
}

// Timing of the wait for a host to stop.
const (
	drainPollInterval = 200 * time.Millisecond
	// drainGrace is added to the drain time that the host states.
	drainGrace = 10 * time.Second
)

func (d *drain) run(ctx context.Context, r *Runner) error {
	a, err := d.client()
	if err != nil {
		return err
	}
	if d.BackendServer != "" || d.Group != "" {
		return d.handOver(ctx, r, a)
	}
	var x handler.Draining
	if err := a.call(ctx, http.MethodPost, "/v1/drain", &x); err != nil {
		return err
	}
	if d.NoWait {
		r.print("draining, ends within " + x.Within)
		return nil
	}
	w, err := time.ParseDuration(x.Within)
	if err != nil {
		return errors.Annotate(err, "read declared time")
	}
	return d.waitForStop(ctx, r, a, w)
}

// handOver moves the primary of --group off --backend-server, so that the server can be stopped.
func (d *drain) handOver(ctx context.Context, r *Runner, a *administrationClient) error {
	if d.BackendServer == "" || d.Group == "" {
		return errors.Annotate(ErrUsage, "--backend-server and --group belong together")
	}
	var x handler.HandedOver
	p := "/v1/hand-over/" + url.PathEscape(d.Group) + "/" + url.PathEscape(d.BackendServer)
	if err := a.call(ctx, http.MethodPost, p, &x); err != nil {
		return err
	}
	r.print("primary of " + x.DatabaseGroup + " moved off " + x.From)
	return nil
}

// waitForStop returns when the host doesn't respond any more, or with an error if it still does
// after the stated time and drainGrace.
func (d *drain) waitForStop(ctx context.Context, r *Runner, a *administrationClient, within time.Duration) error {
	c, cancel := context.WithTimeout(ctx, within+drainGrace)
	defer cancel()
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for a.isUp(c) {
		select {
		case <-t.C:
		case <-c.Done():
			return errors.Errorf("%s still answers after %s", a.url, within+drainGrace)
		}
	}
	r.print("drained")
	return nil
}

func (d *drain) example() string {
	return "cuminwick drain --administration http://10.1.0.11:8432 --token-file token"
}
