// Package authenticator authenticates callers with SCRAM-SHA-256 against the verifiers in the configuration.
package authenticator

import (
	"crypto/hmac"
	"crypto/sha256"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"
	"github.com/xdg-go/scram"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
)

// Mechanism is the only SASL mechanism that is offered.
const Mechanism = "SCRAM-SHA-256"

// Errors of authentication. The caller only learns that it was rejected, so that it can't find out
// which roles exist.
const (
	// ErrRejected is returned for a wrong password, an unknown role or an invalid message.
	ErrRejected = errors.ConstError("password authentication failed")
	// ErrTooManyFailures is returned without a check of the password if too many recent logins from
	// the address have failed.
	ErrTooManyFailures = errors.ConstError("too many failed logins")
)

// Conversation sends and receives the messages of one caller's login, usually a Connection.
type Conversation interface {
	// Send sends m immediately.
	Send(m pgproto3.BackendMessage) error
	// ReceiveSASL returns the body of the next SASL message.
	ReceiveSASL() ([]byte, error)
}

// Identity is the role of an authenticated caller, and the team that the role belongs to.
type Identity struct {
	Team string
	Role string
}

// Authenticator authenticates callers. The exported fields are set before use.
type Authenticator struct {
	// Failures limits failed logins; nil disables the limit.
	Failures *FailureLimiter
	// Secret is the key from which the credentials of unknown roles are derived. A caller that
	// doesn't know it can't distinguish their salts from those of roles that exist.
	Secret []byte
}

// Authenticate checks that the caller knows the password of the role. It sends the caller all
// messages except for the last one, which is AuthenticationOk or an error.
func (a *Authenticator) Authenticate(c Conversation, f *declarer.File, role, address string, now time.Time) (Identity, error) {
	if a.Failures != nil && !a.Failures.Allow(address, now) {
		return Identity{}, errors.Annotatef(ErrTooManyFailures, "authenticate role %q of caller %s", role, address)
	}
	d, v, found := findRole(f, role)
	if !found {
		v = a.fakeCredentials(role)
	}
	ok, err := runSCRAM(c, v)
	if err != nil || !ok || !found {
		if a.Failures != nil {
			a.Failures.RecordFailure(address, now)
		}
		if err == nil {
			err = ErrRejected
		}
		return Identity{}, errors.Annotatef(err, "authenticate role %q of caller %s", role, address)
	}
	return d, nil
}

// runSCRAM exchanges the SCRAM messages and reports whether the caller knows the password.
func runSCRAM(c Conversation, v scram.StoredCredentials) (bool, error) {
	s, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return v, nil })
	if err != nil {
		return false, errors.Annotate(err, "prepare SCRAM")
	}
	n := s.NewConversation()
	if err := c.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{Mechanism}}); err != nil {
		return false, errors.Annotate(err, "send SASL mechanisms")
	}
	first, err := receiveFirst(c)
	if err != nil {
		return false, err
	}
	r, err := n.Step(first)
	if err != nil {
		return false, errors.Annotatef(ErrRejected, "first SASL message: %v", err)
	}
	if err := c.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(r)}); err != nil {
		return false, errors.Annotate(err, "send SASL challenge")
	}
	b, err := c.ReceiveSASL()
	if err != nil {
		return false, errors.Annotate(err, "receive SASL response")
	}
	r, err = n.Step(string(b))
	if err != nil || !n.Valid() {
		return false, nil
	}
	return true, errors.Annotate(c.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(r)}), "send SASL outcome")
}

// receiveFirst returns the first SCRAM message of the caller.
func receiveFirst(c Conversation) (string, error) {
	b, err := c.ReceiveSASL()
	if err != nil {
		return "", errors.Annotate(err, "receive SASL choice")
	}
	var m pgproto3.SASLInitialResponse
	if err := m.Decode(b); err != nil {
		return "", errors.Annotatef(ErrRejected, "SASL choice: %v", err)
	}
	if m.AuthMechanism != Mechanism {
		return "", errors.Annotatef(ErrRejected, "SASL mechanism %q", m.AuthMechanism)
	}
	return string(m.Data), nil
}

// findRole returns the identity and the credentials of the role. It returns false for a role that
// doesn't exist or whose verifier is invalid.
func findRole(f *declarer.File, role string) (Identity, scram.StoredCredentials, bool) {
	if f == nil {
		return Identity{}, scram.StoredCredentials{}, false
	}
	for _, t := range f.Teams {
		for _, r := range t.Roles {
			if r.Name == role {
				v, err := parseVerifier(r.Verifier)
				return Identity{Team: t.Name, Role: role}, v, err == nil
			}
		}
	}
	return Identity{}, scram.StoredCredentials{}, false
}

// defaultIterations is the iteration count that PostgreSQL uses for new verifiers.
const defaultIterations = 4096

// fakeCredentials returns the credentials of a role that doesn't exist, which no password matches.
// They are the same ones each time, like those of a role that exists.
func (a *Authenticator) fakeCredentials(role string) scram.StoredCredentials {
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(a.derive("salt", role)[:16]), Iters: defaultIterations},
		StoredKey:  a.derive("stored-key", role),
		ServerKey:  a.derive("server-key", role),
	}
}

func (a *Authenticator) derive(label, role string) []byte {
	h := hmac.New(sha256.New, a.Secret)
	// Write of a hash never fails.
	_, _ = h.Write([]byte(label + "\x00" + role))
	return h.Sum(nil)
}
