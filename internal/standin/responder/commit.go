package responder

import (
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/standin/replicator"
)

// commit commits a transaction, or answers with the injected commit failure. A real server answers
// with an SQLSTATE that leaves the outcome open if it has lost its own connection to a standby or to
// the node that holds the data; the transaction may be committed or not.
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
	// A transaction that is not committed is rolled back when the session ends it.
	return marker.Mark{}, &pgconn.PgError{Severity: "ERROR", Code: f.Code, Message: "outcome of the transaction is not known"}
}
