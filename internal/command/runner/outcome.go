package runner

import (
	"context"
	"net/http"
	"net/url"

	"github.com/cuminwick/cuminwick/internal/admin/handler"
)

// outcome prints whether the request with an idempotency key ran.
type outcome struct {
	Group  string `arg:"positional,required" placeholder:"DATABASE-GROUP" help:"database group that the request was for"`
	Key    string `arg:"positional,required" placeholder:"KEY" help:"idempotency key of the request"`
	Settle bool   `arg:"--settle" help:"if no attempt has run, keep it from ever running, so that not-run is final"`
	Format format `arg:"--format" default:"table" placeholder:"table|json" help:"how the outcome is printed"`
	administrationFlags
}

func (o *outcome) run(ctx context.Context, r *Runner) error {
	a, err := o.client()
	if err != nil {
		return err
	}
	p := "/v1/outcomes/" + url.PathEscape(o.Group) + "/" + url.PathEscape(o.Key)
	if o.Settle {
		p += "?settle=true"
	}
	var x handler.Outcome
	if err := a.call(ctx, http.MethodGet, p, &x); err != nil {
		return err
	}
	t := table{
		head: []string{"database-group", "key", "outcome"},
		rows: [][]string{{x.DatabaseGroup, x.Key, string(x.Outcome)}},
	}
	return o.Format.show(r.Output, t, x)
}

func (o *outcome) example() string {
	return "cuminwick outcome helpline-records booking-4711 --settle"
}
