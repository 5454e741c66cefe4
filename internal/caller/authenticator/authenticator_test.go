package authenticator_test

import (
	"context"
	"encoding/base64"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"
	"github.com/xdg-go/scram"

	"github.com/cuminwick/cuminwick/internal/caller/authenticator"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
)

// verifier returns the verifier that PostgreSQL would store for the password.
func verifier(t *testing.T, password string) string {
	t.Helper()
	c, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		t.Fatal(err)
	}
	s, err := c.GetStoredCredentialsWithError(scram.KeyFactors{Salt: "salt-of-16-bytes", Iters: 4096})
	if err != nil {
		t.Fatal(err)
	}
	e := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("SCRAM-SHA-256$%d:%s$%s:%s", s.Iters, e([]byte(s.Salt)), e(s.StoredKey), e(s.ServerKey))
}

func file(t *testing.T) *declarer.File {
	t.Helper()
	return &declarer.File{Teams: []declarer.Team{{
		Name:  "kalkul",
		Roles: []declarer.Role{{Name: "officer", Verifier: verifier(t, "correct horse")}},
	}}}
}

// login logs in with pgconn. It returns the results of the server and of the client.
func login(t *testing.T, a *authenticator.Authenticator, f *declarer.File, role, password string) (authenticator.Identity, error, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	r := make(chan error, 1)
	go func() {
		c := fmt.Sprintf("postgres://%s@%s/db?sslmode=disable", role, l.Addr())
		p, err := pgconn.ParseConfig(c)
		if err != nil {
			r <- err
			return
		}
		p.Password = password
		n, err := pgconn.ConnectConfig(context.Background(), p)
		if err == nil {
			n.Close(context.Background())
		}
		r <- err
	}()
	n, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	b := pgproto3.NewBackend(n, n)
	if _, err := b.ReceiveStartupMessage(); err != nil {
		t.Fatal(err)
	}
	i, err := a.Authenticate(authenticator.Connection{Conn: n}, f, role, n.RemoteAddr().String(), time.Now())
	if err != nil {
		b.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "28P01", Message: errors.Cause(err).Error()})
		b.Flush()
		n.Close()
		return i, err, <-r
	}
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	b.Flush()
	return i, nil, <-r
}

func TestAuthenticate(t *testing.T) {
	f := file(t)
	a := &authenticator.Authenticator{Secret: []byte("secret")}
	for _, c := range []struct {
		name, role, password string
		ok                   bool
	}{
		{"right password", "officer", "correct horse", true},
		{"wrong password", "officer", "wrong", false},
		{"unknown role", "nobody", "correct horse", false},
		{"empty password", "officer", "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			i, err, clientErr := login(t, a, f, c.role, c.password)
			if c.ok != (err == nil) || c.ok != (clientErr == nil) {
				t.Fatalf("server returned %v, client returned %v", err, clientErr)
			}
			if c.ok && (i.Team != "kalkul" || i.Role != c.role) {
				t.Errorf("identity %+v", i)
			}
		})
	}
}

// Guards against password guessing: a client tries one password after the other. After a few failures
// its address must be refused, but only for some time.
func TestFailedLoginsAreBounded(t *testing.T) {
	f := &authenticator.FailureLimiter{PerMinute: 3}
	now := time.Unix(1000, 0)
	for i := range 3 {
		if !f.Allow(fmt.Sprintf("10.0.0.1:%d", i), now) {
			t.Fatalf("refused after %d failures", i)
		}
		f.RecordFailure(fmt.Sprintf("10.0.0.1:%d", i), now)
	}
	if f.Allow("10.0.0.1:9", now) {
		t.Error("allowed after too many failures")
	}
	if !f.Allow("10.0.0.2:9", now) {
		t.Error("another address was refused")
	}
	if !f.Allow("10.0.0.1:9", now.Add(21*time.Second)) {
		t.Error("still refused after 21 s")
	}
}

// Guards against callers that send an invalid message instead of a SASL response, or announce a huge
// one, which would occupy memory or fail without ErrRejected.
func TestGarbageIsRejected(t *testing.T) {
	for _, b := range []string{"Q\x00\x00\x00\x04", "p\x7f\xff\xff\xff", "p\x00\x00\x00\x06xx", "p\x00\x00\x00\x00"} {
		x, y := net.Pipe()
		go func() {
			// The server sends the mechanisms first.
			y.Read(make([]byte, 512))
			y.Write([]byte(b))
			y.Close()
		}()
		a := &authenticator.Authenticator{}
		_, err := a.Authenticate(authenticator.Connection{Conn: x}, nil, "u", "10.0.0.1:1", time.Now())
		if !errors.Is(err, authenticator.ErrRejected) {
			t.Errorf("%q: %v", b, err)
		}
	}
}
