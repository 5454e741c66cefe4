package responder

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"
	"github.com/xdg-go/scram"
)

// SCRAM settings, the same for all users and servers.
const (
	scramMechanism  = "SCRAM-SHA-256"
	scramSalt       = "cuminwick-stand-in"
	scramIterations = 4096
)

// authenticate performs SCRAM-SHA-256 authentication if the server has a password.
func (c *connection) authenticate() error {
	if c.server.Password == "" {
		return nil
	}
	c.backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}})
	if err := c.requestSASL(pgproto3.AuthTypeSASL); err != nil {
		return err
	}
	m, err := c.backend.Receive()
	if err != nil {
		return errors.Annotate(err, "receive first SASL message")
	}
	i, ok := m.(*pgproto3.SASLInitialResponse)
	if !ok || i.AuthMechanism != scramMechanism {
		return c.refuse("08P01", "expected a SASL response with "+scramMechanism)
	}
	v, err := c.newConversation()
	if err != nil {
		return err
	}
	return c.exchangeSCRAM(v, string(i.Data))
}

// requestSASL sends the queued messages and sets the authentication type by which the response is
// decoded.
func (c *connection) requestSASL(kind uint32) error {
	if err := c.backend.Flush(); err != nil {
		return errors.Annotate(err, "request password")
	}
	return c.backend.SetAuthType(kind)
}

// newConversation starts the server side of a SCRAM exchange.
func (c *connection) newConversation() (*scram.ServerConversation, error) {
	s, err := scram.SHA256.NewServer(c.credentials)
	if err != nil {
		return nil, errors.Annotate(err, "make SCRAM server")
	}
	return s.NewConversation(), nil
}

// credentials returns the stored credentials of the server's password, the same for every user.
func (c *connection) credentials(string) (scram.StoredCredentials, error) {
	u, err := scram.SHA256.NewClient("", c.server.Password, "")
	if err != nil {
		return scram.StoredCredentials{}, err
	}
	return u.GetStoredCredentialsWithError(scram.KeyFactors{Salt: scramSalt, Iters: scramIterations})
}

// exchangeSCRAM performs the two steps of SCRAM; first is the client's first message.
func (c *connection) exchangeSCRAM(v *scram.ServerConversation, first string) error {
	r, err := v.Step(first)
	if err != nil {
		return c.rejectPassword(err)
	}
	c.backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(r)})
	if err := c.requestSASL(pgproto3.AuthTypeSASLContinue); err != nil {
		return err
	}
	m, err := c.backend.Receive()
	if err != nil {
		return errors.Annotate(err, "receive second SASL message")
	}
	a, ok := m.(*pgproto3.SASLResponse)
	if !ok {
		return c.refuse("08P01", "expected a SASL response")
	}
	r, err = v.Step(string(a.Data))
	if err != nil || !v.Valid() {
		return c.rejectPassword(err)
	}
	c.backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(r)})
	return nil
}

// rejectPassword answers that the password is wrong and returns err, the reason, annotated.
func (c *connection) rejectPassword(err error) error {
	if e := c.refuse("28P01", "password authentication failed"); e != nil {
		return e
	}
	return errors.Annotate(err, "check password")
}
