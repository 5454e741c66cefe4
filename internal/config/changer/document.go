// Package changer makes one configuration file out of another one and what differs.
package changer

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash"
	"io"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
)

// Document is a file with the text of each of its parts, as the digest covers it.
// It is never changed; documents made from each other share what they have in common.
type Document struct {
	File *declarer.File
	// Digest is the digest of the whole text.
	Digest string

	groups, rules, limits, teams list
}

// list holds the texts of a list's entries. A nil one isn't in the text, or is
// null where a key must be there.
type list []json.RawMessage

// Keys of the file's lists as they stand in the text.
const (
	groupsKey = `{"database-groups":`
	rulesKey  = `,"routing-rules":`
	limitsKey = `,"limits":`
	teamsKey  = `,"teams":`
)

// NewDocument codes f part by part. The text is the one that encoder.Pack compresses.
func NewDocument(f *declarer.File) (*Document, error) {
	g := *f
	g.EditedFrom = 0
	g.RoutingRules = nonEmpty(g.RoutingRules)
	g.Teams = nonEmpty(g.Teams)
	d := &Document{File: &g}
	var err error
	d.groups, err = texts(g.DatabaseGroups, err)
	d.rules, err = texts(g.RoutingRules, err)
	d.teams, err = texts(g.Teams, err)
	if g.Limits != (declarer.Limits{}) {
		d.limits, err = texts([]declarer.Limits{g.Limits}, err)
	}
	if err != nil {
		return nil, err
	}
	d.Digest = d.sum()
	return d, nil
}

// texts codes the entries of a list, unless an earlier list failed.
func texts[T any](l []T, err error) (list, error) {
	if l == nil || err != nil {
		return nil, err
	}
	r := make(list, len(l))
	for i := range l {
		if r[i], err = json.Marshal(&l[i]); err != nil {
			return nil, errors.Annotatef(err, "encode entry %d of the configuration", i)
		}
	}
	return r, nil
}

// nonEmpty returns nil for a list without entries, which stands in no text.
func nonEmpty[T any](l []T) []T {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Text returns the whole text.
func (d *Document) Text() []byte {
	var b bytes.Buffer
	d.write(&b)
	return b.Bytes()
}

func (d *Document) sum() string {
	h := sha256.New()
	w := &gatherer{hash: h}
	d.write(w)
	w.flush()
	return hex.EncodeToString(h.Sum(nil))
}

// write writes the whole text to w, which never fails.
func (d *Document) write(w io.Writer) {
	put(w, groupsKey)
	if d.groups == nil {
		put(w, "null")
	} else {
		d.groups.write(w)
	}
	if len(d.rules) > 0 {
		put(w, rulesKey)
		d.rules.write(w)
	}
	if len(d.limits) > 0 {
		put(w, limitsKey)
		_, _ = w.Write(d.limits[0])
	}
	if len(d.teams) > 0 {
		put(w, teamsKey)
		d.teams.write(w)
	}
	put(w, "}")
}

func (l list) write(w io.Writer) {
	put(w, "[")
	for i, t := range l {
		if i > 0 {
			put(w, ",")
		}
		_, _ = w.Write(t)
	}
	put(w, "]")
}

func put(w io.Writer, s string) {
	_, _ = io.WriteString(w, s)
}

// gatherer hands short texts to the hash in larger pieces, which takes less time.
type gatherer struct {
	hash hash.Hash
	n    int
	b    [8192]byte
}

// Write implements io.Writer.
func (g *gatherer) Write(p []byte) (int, error) {
	if g.n+len(p) > len(g.b) {
		g.flush()
	}
	if len(p) > len(g.b) {
		return g.hash.Write(p)
	}
	g.n += copy(g.b[g.n:], p)
	return len(p), nil
}

// WriteString implements io.StringWriter; s is shorter than the piece.
func (g *gatherer) WriteString(s string) (int, error) {
	if g.n+len(s) > len(g.b) {
		g.flush()
	}
	g.n += copy(g.b[g.n:], s)
	return len(s), nil
}

func (g *gatherer) flush() {
	_, _ = g.hash.Write(g.b[:g.n])
	g.n = 0
}
