package runner

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/standin/replicator"
	"github.com/cuminwick/cuminwick/internal/standin/responder"
	"github.com/cuminwick/cuminwick/internal/standin/storekeeper"
)

// standIn groups the subcommands that run stand-ins. A stand-in simulates a service that a
// deployment depends on.
type standIn struct {
	Platform *standInPlatform `arg:"subcommand:platform" help:"run an object service and host list"`
	Backend  *standInBackend  `arg:"subcommand:backend" help:"run a backend server"`
}

func (s *standIn) run(context.Context, *Runner) error {
	return errors.Annotate(ErrUsage, "expected stand-in platform or stand-in backend")
}

func (s *standIn) example() string {
	return "cuminwick stand-in platform --address 127.0.0.1:8500"
}

// standInPlatform runs the stand-in of the platform, which stores objects and lists hosts.
type standInPlatform struct {
	Address string `arg:"--address" default:"127.0.0.1:8500" help:"address to listen on"`
}

func (s *standInPlatform) run(ctx context.Context, r *Runner) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	p := &storekeeper.Server{Address: s.Address}
	a, err := p.Listen()
	if err != nil {
		return errors.Annotate(err, "stand-in platform")
	}
	r.print("platform at http://" + a)
	return p.Run(ctx)
}

func (s *standInPlatform) example() string {
	return "cuminwick stand-in platform --address 127.0.0.1:8500"
}

// standInBackend runs the stand-in of a backend server.
type standInBackend struct {
	Name                string        `arg:"--name" default:"db-1" help:"the server's name in its group"`
	Address             string        `arg:"--address" default:"127.0.0.1:5433" help:"address to listen on"`
	AdminAddress        string        `arg:"--admin-address" help:"address of POST /fault and GET /dump [default: none]"`
	Slots               int           `arg:"--slots" default:"2" help:"statements that work at a time, 0 for no limit"`
	Connections         int           `arg:"--connections" default:"16" help:"connections that are accepted, 0 for no limit"`
	ConnectTime         time.Duration `arg:"--connect-time" default:"10ms" help:"what a new connection takes"`
	ServiceTime         time.Duration `arg:"--service-time" help:"what a statement takes in its slot"`
	PasswordEnvironment string        `arg:"--password-environment" placeholder:"NAME" help:"variable with the password that callers need [default: none]"`
	Primary             bool          `arg:"--primary" help:"start as the primary of term 1"`
	Follow              string        `arg:"--follow" placeholder:"NAME=ADDRESS" help:"start as a replica of that primary under term 1"`
}

func (s *standInBackend) run(ctx context.Context, r *Runner) error {
	l, err := s.parseFollow()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	b := &responder.Server{
		Name:               s.Name,
		Address:            s.Address,
		AdminAddress:       s.AdminAddress,
		Slots:              s.Slots,
		MaximumConnections: s.Connections,
		ConnectTime:        s.ConnectTime,
		ServiceTime:        s.ServiceTime,
		Primary:            s.Primary,
		Following:          l,
	}
	if s.PasswordEnvironment != "" {
		b.Password = os.Getenv(s.PasswordEnvironment)
	}
	go s.printAddress(ctx, r, b)
	return errors.Annotate(b.Run(ctx), "stand-in backend")
}

// printAddress prints the addresses once the server listens on them.
func (s *standInBackend) printAddress(ctx context.Context, r *Runner, b *responder.Server) {
	select {
	case <-b.Ready():
	case <-ctx.Done():
		return
	}
	t := "backend server " + b.Name + " at " + b.Addr()
	if a := b.AdminAddr(); a != "" {
		t += ", faults at http://" + a + "/fault"
	}
	r.print(t)
}

// parseFollow returns the primary to follow according to --follow, the zero value if it isn't set.
func (s *standInBackend) parseFollow() (replicator.PrimaryServer, error) {
	if s.Follow == "" {
		return replicator.PrimaryServer{}, nil
	}
	n, a, ok := strings.Cut(s.Follow, "=")
	if !ok || n == "" || a == "" {
		return replicator.PrimaryServer{}, errors.Annotatef(ErrUsage, "--follow %q: expected NAME=ADDRESS", s.Follow)
	}
	if s.Primary {
		return replicator.PrimaryServer{}, errors.Annotate(ErrUsage, "--primary and --follow exclude each other")
	}
	return replicator.PrimaryServer{Name: n, Address: a}, nil
}

func (s *standInBackend) example() string {
	return "cuminwick stand-in backend --name db-1 --address 127.0.0.1:5433 --primary"
}
