package commander

import (
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
)

// verify checks that the status comes from the configured server. It compares the name and the
// system identifier, which all servers of a group share and which differs between groups. If they
// differ, it closes the connection and returns controller.ErrWrongServer.
//
// Addresses are reused: after a server has ended, a server of another group may listen at its
// address, which is still polled. Names such as db-1 occur in many groups, so the identifier that
// the server reported first must match too, unless it reported none (zero). After a server has been
// set up again with other data, the entry host must be restarted.
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
