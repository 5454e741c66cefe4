package exchanger

import (
	"bytes"
	"encoding/binary"
	"strconv"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/pool/keeper"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
	"github.com/cuminwick/cuminwick/internal/wire/follower"
	"github.com/cuminwick/cuminwick/internal/wire/framer"
)

const (
	// positionSQL reads the mark (term and position) of the last entry of the server's log. The name
	// of the result column follows.
	positionSQL = "SELECT cuminwick_position() AS "
	// maximumPositionQueryBytes is the size of the longest position query with its header.
	maximumPositionQueryBytes = framer.HeaderBytes + len(positionSQL) + len("p255") + 1
)

// positionQuery is a query for the log position. PostgreSQL's protocol numbers no requests, so the
// query names its result column after its number on the connection. Once that name is received, the
// answers before it were those to the messages before the query, and not to earlier ones.
type positionQuery struct {
	number uint8
	// last is the type of the last message of the answer, zero before the first one.
	last byte
	mark marker.Mark
}

// positionQueries holds the encoded queries by their numbers. Nearly every request sends one, so they
// are encoded once.
var positionQueries = encodePositionQueries()

func encodePositionQueries() [1 << 8][]byte {
	var q [1 << 8][]byte
	for n := range q {
		q[n] = batcher.EncodeQuery(positionSQL + positionColumn(uint8(n)))
	}
	return q
}

// positionColumn returns the name of the result column of the query with this number.
func positionColumn(n uint8) string {
	return "p" + strconv.Itoa(int(n))
}

// appendTo appends the next position query of c to p.
func (q *positionQuery) appendTo(p []byte, c *keeper.Conn) []byte {
	c.Numbered++
	q.number = c.Numbered
	return append(p, positionQueries[q.number]...)
}

// receivePosition reads the answer to q. The mark is zero if the server answered with an error, as it
// does after a cancel. Messages that the server sends by itself are forwarded to the caller.
func (x *Exchange) receivePosition(q *positionQuery) (marker.Mark, error) {
	for {
		f, err := x.Conn.Reader.Next()
		if err != nil {
			return marker.Mark{}, x.lost(err)
		}
		if !follower.IsAnswer(f.Type) {
			if err := x.forward(f, true); err != nil {
				return marker.Mark{}, err
			}
			continue
		}
		if err := q.accept(f); err != nil {
			return marker.Mark{}, x.lost(err)
		}
		if f.Type == follower.ReadyForQuery {
			return q.result(x.checkStatus(f))
		}
		if err := x.forward(f, false); err != nil {
			return marker.Mark{}, err
		}
	}
}

// accept handles the next message of the answer to q, which has the four messages of a row, or an
// error in place of any but the last. It returns ErrSurplus for any other message.
func (q *positionQuery) accept(f framer.Frame) error {
	ok := false
	switch f.Type {
	case follower.RowDescription:
		ok = q.last == 0 && describesOnly(f.Body(), positionColumn(q.number))
	case follower.DataRow:
		q.mark, ok = parsePosition(f.Body())
		ok = ok && q.last == follower.RowDescription
	case follower.CommandComplete:
		ok = q.last == follower.DataRow
	case follower.ErrorResponse:
		q.mark = marker.Mark{}
		ok = q.last != follower.ErrorResponse
	case follower.ReadyForQuery:
		ok = q.last == follower.CommandComplete || q.last == follower.ErrorResponse
	}
	if !ok {
		return errors.Annotatef(ErrSurplus, "message %q instead of position %d", f.Type, q.number)
	}
	q.last = f.Type
	return nil
}

// describesOnly reports whether the body of a RowDescription describes one column of this name.
func describesOnly(body []byte, name string) bool {
	n, ok := bytes.CutPrefix(body, []byte{0, 1})
	return ok && len(n) > len(name) && n[len(name)] == 0 && string(n[:len(name)]) == name
}

// checkStatus returns an error unless the ReadyForQuery of a position query has the transaction state
// of the batch's, which the query doesn't change.
func (x *Exchange) checkStatus(f framer.Frame) error {
	s, err := parseStatus(f)
	if err == nil && x.result.Status != 0 && s != x.result.Status {
		err = errors.Annotatef(ErrSurplus, "state %q after state %q", s, x.result.Status)
	}
	if err != nil {
		return x.lost(err)
	}
	return nil
}

// result returns the mark unless err is set.
func (q *positionQuery) result(err error) (marker.Mark, error) {
	if err != nil {
		return marker.Mark{}, err
	}
	return q.mark, nil
}

// parsePosition returns the mark in the body of a DataRow with one text column of the form
// term/position, and false if the row has another form.
func parsePosition(row []byte) (marker.Mark, bool) {
	const columnHeader = 6
	if len(row) <= columnHeader || !bytes.HasPrefix(row, []byte{0, 1}) || int(binary.BigEndian.Uint32(row[2:])) != len(row)-columnHeader {
		return marker.Mark{}, false
	}
	t, p, _ := bytes.Cut(row[columnHeader:], []byte{'/'})
	n, err := strconv.ParseUint(string(t), 10, 64)
	if err != nil {
		return marker.Mark{}, false
	}
	k, err := strconv.ParseUint(string(p), 10, 64)
	return marker.Mark{Term: marker.Term(n), Position: marker.Position(k)}, err == nil
}
