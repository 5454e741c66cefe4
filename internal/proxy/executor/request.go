package executor

import (
	"crypto/sha256"
	"encoding/base64"
	"strings"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

const errNoStatement = errors.ConstError("no such prepared statement")

// buildRequest builds the request to the backend server. A prepared statement is named after its
// shape on the server: sessions that prepare the same shape share it, and different shapes that
// sessions prepare under one name don't collide.
func (s *Session) buildRequest(x declarer.Statement) (*request, error) {
	q := &request{Request: declarer.Request{ID: x.ID, Text: x.Text, Writes: x.Verb == declarer.VerbWrite}, verb: x.Verb}
	if x.Verb != declarer.VerbExecute {
		return q, nil
	}
	p, ok := s.prepared[x.Name]
	if !ok {
		return nil, errNoStatement
	}
	q.Text = ""
	q.Verb = declarer.VerbExecute
	q.Name = p.name
	q.Argument = x.Argument
	q.Writes = p.writes
	q.prepared = &p
	return q, nil
}

const (
	// maximumPlainShapeBytes is the longest shape that is part of its name on servers.
	maximumPlainShapeBytes = 40
	// namePlain and nameDigest follow the letter of the access in a name.
	namePlain  = "_"
	nameDigest = "h_"
)

// serverStatementName returns the name of a prepared statement on servers. It is one word, and stands for
// one shape and access only: a shape that may not be part of a word is replaced by its digest.
func serverStatementName(p preparedStatement) string {
	access := "r"
	if p.writes {
		access = "w"
	}
	if isPlainShape(p.shape) {
		return access + namePlain + p.shape
	}
	d := sha256.Sum256([]byte(p.shape))
	return access + nameDigest + base64.RawURLEncoding.EncodeToString(d[:])
}

func isPlainShape(s string) bool {
	return len(s) <= maximumPlainShapeBytes && !strings.ContainsFunc(s, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && r != '.' && r != '_' && r != '-'
	})
}

// request is a caller's statement in the form sent to a backend server. verb is the caller's,
// prepared is set for an execution only.
type request struct {
	declarer.Request
	verb     declarer.Verb
	prepared *preparedStatement
}

// textBytes returns the length in bytes that the text of a statement has at most once it is sent to a server.
func (q *request) textBytes(x declarer.Statement) int {
	n := len(x.Text)
	if q.prepared != nil {
		n += len(q.Name) - len(x.Name)
	}
	if !q.Writes {
		n += declarer.PositionBytes
	}
	return n
}
