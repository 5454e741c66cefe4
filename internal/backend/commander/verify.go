package commander

import (
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
)

// verify tells whether the configured server has answered, by its name and by the
// system identifier, which all servers of a group share and those of others don't. The
// connection to another one is given up.
//
// Addresses are given out again: after a server has ended, another group's may listen
// at its address, where polls go on. Names such as db-1 occur in many groups, so the
// identifier that the server told first counts too, unless it told none (zero). A
// server that was set up anew with other data needs a restart of the entry host.
func (c *Client) verify(p controller.Status) error {
	if p.BackendServer == c.Name && (c.identifier == 0 || p.SystemIdentifier == c.identifier) {
		c.identifier = p.SystemIdentifier
		c.verified = true
		return nil
	}
	err := errors.Annotatef(controller.ErrWrongServer, "backend server %s at %s: got %s with system identifier %d, want %d", c.Name, c.Address, p.BackendServer, p.SystemIdentifier, c.identifier)
	c.dropBroken(err)
	return err
}
