package commander

import (
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// row reads the columns of a status row by name and keeps the first error.
type row struct {
	fields []pgconn.FieldDescription
	values [][]byte
	err    error
}

// ErrOutOfStep is returned for a row that isn't the answer to the call.
const ErrOutOfStep = errors.ConstError("answer to another call")

// readStatus parses a status row and verifies that it comes from the configured server. It drops the
// connection if the row isn't the answer to the last call, because later answers wouldn't be either.
func (c *Client) readStatus(r *pgconn.Result) (controller.Status, error) {
	p, err := c.parseStatus(r)
	if err != nil {
		c.dropBroken(err)
		return controller.Status{}, err
	}
	return p, c.verify(p)
}

func (c *Client) parseStatus(r *pgconn.Result) (controller.Status, error) {
	if len(r.Rows) != 1 {
		return controller.Status{}, errors.Errorf("status of backend server %s has %d rows", c.Name, len(r.Rows))
	}
	if n := len(r.Rows[0]); n != len(r.FieldDescriptions) {
		return controller.Status{}, errors.Errorf("status of backend server %s has %d values for %d columns", c.Name, n, len(r.FieldDescriptions))
	}
	w := &row{fields: r.FieldDescriptions, values: r.Rows[0]}
	if n := w.text(callColumn); n != strconv.FormatUint(uint64(c.calls), 10) {
		return controller.Status{}, errors.Annotatef(ErrOutOfStep, "backend server %s answered call %q instead of %d", c.Name, n, c.calls)
	}
	s := controller.Status{
		BackendServer: w.text("backend_server"),
		Role:          controller.Role(w.text("role")),
		Term:          marker.Term(w.number("term")),
		Last: marker.Mark{
			Term:     marker.Term(w.number("last_term")),
			Position: marker.Position(w.number("last_position")),
		},
		TermStart:        marker.Position(w.number("term_start")),
		SinceLastContact: time.Duration(w.number("since_heard_ms")) * time.Millisecond,
		Following:        w.text("following"),
		Leaving:          w.text("leaving") == "t",
	}
	s.PreviousTerm = marker.Term(w.optional("previous_term"))
	s.WriteTransactions = int(w.optional("writing"))
	s.SystemIdentifier = w.optional("system_identifier")
	return s, errors.Annotatef(w.err, "read status of backend server %s", c.Name)
}

// find returns the value of a column; ok is false if there is no such column. It searches linearly
// because there are few columns and a map would be allocated for each poll.
func (w *row) find(name string) (v []byte, ok bool) {
	for i := range w.fields {
		if w.fields[i].Name == name {
			return w.values[i], true
		}
	}
	return nil, false
}

func (w *row) text(name string) string {
	v, ok := w.find(name)
	if !ok && w.err == nil {
		w.err = errors.Errorf("column %s is missing", name)
	}
	return string(v)
}

// optional returns the number in a column that servers may omit, zero if it is missing.
func (w *row) optional(name string) uint64 {
	if _, ok := w.find(name); !ok {
		return 0
	}
	return w.number(name)
}

func (w *row) number(name string) uint64 {
	n, err := strconv.ParseUint(w.text(name), 10, 64)
	if err != nil && w.err == nil {
		w.err = errors.Annotatef(err, "column %s", name)
	}
	return n
}
