package driver

import (
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/observer"
)

// identities tells the servers of a group from others by the system identifier, which all
// servers of a group share. Where a server of another group has an address from the start,
// only the identifiers of the other servers show it.
type identities struct {
	// servers is how many the group has.
	servers int
	// told is what each server told last, by name.
	told map[string]uint64
	// agreed is what more than half of them told, zero until then.
	agreed uint64
}

// note notes the identifier that a server tells, zero if it tells none.
func (t *identities) note(server string, identifier uint64) {
	if identifier == 0 {
		return
	}
	if t.told == nil {
		t.told = make(map[string]uint64)
	}
	t.told[server] = identifier
	if t.agreed == 0 && t.alike(identifier) >= observer.Majority(t.servers) {
		t.agreed = identifier
	}
}

// alike counts the servers that told the identifier.
func (t *identities) alike(identifier uint64) int {
	n := 0
	for _, x := range t.told {
		if x == identifier {
			n++
		}
	}
	return n
}

// stranger reports whether the server may be of another group. As long as no identifier is
// that of more than half, any two that differ make all that told one strangers.
func (t *identities) stranger(server string) bool {
	x, ok := t.told[server]
	switch {
	case !ok:
		return false
	case t.agreed != 0:
		return x != t.agreed
	}
	return t.alike(x) < len(t.told)
}

// identify notes what the instance tells, and forgets what strangers have reported. It
// returns an error of controller.ErrStranger where the instance is one. The mutex is held.
func (d *Driver) identify(i *instance, identifier uint64) error {
	d.identities.note(i.name, identifier)
	for _, o := range d.instances {
		if o.observation.Answered && d.identities.stranger(o.name) {
			o.observation = observer.Observation{}
			d.ledger.Forget(o.name)
		}
	}
	return d.strange(i)
}

// strange returns an error of controller.ErrStranger where the instance is one. The mutex is held.
func (d *Driver) strange(i *instance) error {
	if !d.identities.stranger(i.name) {
		return nil
	}
	return errors.Annotatef(controller.ErrStranger, "backend server %s at %s: system identifier %d, others of the group differ", i.name, i.address, d.identities.told[i.name])
}

// checkIdentity is strange for a command that is about to be given.
func (d *Driver) checkIdentity(i *instance) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.strange(i)
}
