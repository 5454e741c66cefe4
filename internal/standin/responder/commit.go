package responder

import (
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/standin/replicator"
)

// commit ends a transaction, or fails as it was told to. A real server answers
// with a code that leaves the outcome open where it lost a connection of its own,
// to a standby or to the node that holds the data; both outcomes occur.
func (c *connection) commit(t *replicator.Transaction) (marker.Mark, error) {
	if t.Empty() {
		return t.Commit()
	}
	f := c.server.faults.TakeCommitFailure()
	if f.Code == "" {
		return t.Commit()
	}
	if f.Committed {
		if _, err := t.Commit(); err != nil {
			return marker.Mark{}, err
		}
	}
	// What isn't committed is rolled back by the session's end of the transaction.
	return marker.Mark{}, &pgconn.PgError{Severity: "ERROR", Code: f.Code, Message: "outcome of the transaction is not known"}
}
