// Package authenticator checks who a caller is, by SCRAM-SHA-256 against the verifiers of the applied file.
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

// Errors of authentication. A caller is told no more than that it was rejected,
// so that it can't find out which roles exist.
const (
	// ErrRejected says that the password, the role or the message was wrong.
	ErrRejected = errors.ConstError("password authentication failed")
	// ErrTooManyFailures says that too many logins from this address have failed of late.
	ErrTooManyFailures = errors.ConstError("too many failed logins")
)

// Conversation carries the messages of one caller's login.
type Conversation interface {
	// Send sends m at once.
	Send(m pgproto3.BackendMessage) error
	// ReceiveSASL returns the body of the next SASL message.
	ReceiveSASL() ([]byte, error)
}

// Identity is who a caller has shown to be.
type Identity struct {
	Team string
	Role string
}

// Authenticator checks logins.
type Authenticator struct {
	// Failures bounds failed logins, unless it is nil.
	Failures *FailureLimiter
	// Secret makes up verifiers for roles that don't exist, the same ones each
	// time; without it they could be told from roles that do.
	Secret []byte
}

// Authenticate conducts the login of a caller that claims to be role. It sends
// all messages but the last, AuthenticationOk, or an error to the caller.
func (a *Authenticator) Authenticate(c Conversation, f *declarer.File, role, address string, now time.Time) (Identity, error) {
	if a.Failures != nil && !a.Failures.Allow(address, now) {
		return Identity{}, errors.Annotatef(ErrTooManyFailures, "authenticate role %q of caller %s", role, address)
	}
	d, v, found := find(f, role)
	if !found {
		v = a.madeUp(role)
	}
	ok, err := converse(c, v)
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

// converse exchanges the SCRAM messages and reports whether the caller knows
// the password.
func converse(c Conversation, v scram.StoredCredentials) (bool, error) {
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

// find returns the identity and credentials of role.
func find(f *declarer.File, role string) (Identity, scram.StoredCredentials, bool) {
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

// defaultIterations is what PostgreSQL uses for new verifiers.
const defaultIterations = 4096

// madeUp returns credentials of a role that doesn't exist; no password fits them.
func (a *Authenticator) madeUp(role string) scram.StoredCredentials {
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(a.derive("salt", role)[:16]), Iters: defaultIterations},
		StoredKey:  a.derive("stored-key", role),
		ServerKey:  a.derive("server-key", role),
	}
}

func (a *Authenticator) derive(use, role string) []byte {
	h := hmac.New(sha256.New, a.Secret)
	// A hash never fails to be written to.
	_, _ = h.Write([]byte(use + "\x00" + role))
	return h.Sum(nil)
}
