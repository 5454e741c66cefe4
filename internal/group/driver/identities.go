package driver

import (
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/observer"
)

// identities distinguishes the servers of a group from others by the system identifier, which all
// servers of a group share. If a server of another group has had an instance's address from the
// start, only a comparison with the other servers' identifiers shows it.
type identities struct {
	// servers is the number of servers of the group.
	servers int
	// reported is the last identifier that each server reported, by server name.
	reported map[string]uint64
	// agreed is the first identifier that a majority of the servers reported, zero until then.
	agreed uint64
}

// record records the identifier that a server reports, zero if it reports none.
func (t *identities) record(server string, identifier uint64) {
	if identifier == 0 {
		return
	}
	if t.reported == nil {
		t.reported = make(map[string]uint64)
	}
	t.reported[server] = identifier
	if t.agreed == 0 && t.countReporting(identifier) >= observer.Majority(t.servers) {
		t.agreed = identifier
	}
}

// countReporting returns how many servers last reported the identifier.
func (t *identities) countReporting(identifier uint64) int {
	n := 0
	for _, x := range t.reported {
		if x == identifier {
			n++
		}
	}
	return n
}

// mismatched reports whether the server may belong to another group. Until a majority has agreed on
// an identifier, two different identifiers make all servers that reported one mismatched.
func (t *identities) mismatched(server string) bool {
	x, ok := t.reported[server]
	switch {
	case !ok:
		return false
	case t.agreed != 0:
		return x != t.agreed
	}
	return t.countReporting(x) < len(t.reported)
}

// recordIdentity records the identifier that the instance reports and drops the observations of all
// mismatched servers. It returns an error of controller.ErrWrongServer if the instance is
// mismatched. The mutex is held.
func (d *Driver) recordIdentity(i *instance, identifier uint64) error {
	d.identities.record(i.name, identifier)
	for _, o := range d.instances {
		if o.observation.Answered && d.identities.mismatched(o.name) {
			o.observation = observer.Observation{}
			d.ledger.Forget(o.name)
		}
	}
	return d.identityError(i)
}

// identityError returns an error of controller.ErrWrongServer if the instance is mismatched. The
// mutex is held.
func (d *Driver) identityError(i *instance) error {
	if !d.identities.mismatched(i.name) {
		return nil
	}
	return errors.Annotatef(controller.ErrWrongServer, "backend server %s at %s: system identifier %d, others of the group differ", i.name, i.address, d.identities.reported[i.name])
}

// checkIdentity returns an error of controller.ErrWrongServer if the instance is mismatched. It is
// called before a command is sent.
func (d *Driver) checkIdentity(i *instance) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.identityError(i)
}
