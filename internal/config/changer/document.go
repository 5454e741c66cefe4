// Package changer computes changes between two configuration files and applies them.
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

// Document is a file with the JSON text of each of its entries, over which the digest is
// computed. It is immutable; documents made from each other share their common entries.
type Document struct {
	File *declarer.File
	// Digest is the SHA-256 digest of the whole text in hexadecimal.
	Digest string

	groups, rules, limits, teams entryTexts
}

// entryTexts holds the JSON texts of a list's entries. A nil list is omitted from the
// whole text, or is null if its key is always written.
type entryTexts []json.RawMessage

// Keys of the file's lists as they are written in the text.
const (
	groupsKey = `{"database-groups":`
	rulesKey  = `,"routing-rules":`
	limitsKey = `,"limits":`
	teamsKey  = `,"teams":`
)

// NewDocument encodes f entry by entry. The whole text equals the one that encoder.Pack
// compresses.
func NewDocument(f *declarer.File) (*Document, error) {
	g := *f
	g.EditedFrom = 0
	g.RoutingRules = nilIfEmpty(g.RoutingRules)
	g.Teams = nilIfEmpty(g.Teams)
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
	d.Digest = d.computeDigest()
	return d, nil
}

// texts encodes the entries of a list, unless err is set because an earlier list failed.
func texts[T any](l []T, err error) (entryTexts, error) {
	if l == nil || err != nil {
		return nil, err
	}
	r := make(entryTexts, len(l))
	for i := range l {
		if r[i], err = json.Marshal(&l[i]); err != nil {
			return nil, errors.Annotatef(err, "encode entry %d of the configuration", i)
		}
	}
	return r, nil
}

// nilIfEmpty returns nil for a list without entries, because the text omits such a list.
func nilIfEmpty[T any](l []T) []T {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Text returns the whole JSON text.
func (d *Document) Text() []byte {
	var b bytes.Buffer
	d.write(&b)
	return b.Bytes()
}

func (d *Document) computeDigest() string {
	h := sha256.New()
	w := &hashBuffer{hash: h}
	d.write(w)
	w.flush()
	return hex.EncodeToString(h.Sum(nil))
}

// write writes the whole text to w, which never fails.
func (d *Document) write(w io.Writer) {
	writeString(w, groupsKey)
	if d.groups == nil {
		writeString(w, "null")
	} else {
		d.groups.write(w)
	}
	if len(d.rules) > 0 {
		writeString(w, rulesKey)
		d.rules.write(w)
	}
	if len(d.limits) > 0 {
		writeString(w, limitsKey)
		_, _ = w.Write(d.limits[0])
	}
	if len(d.teams) > 0 {
		writeString(w, teamsKey)
		d.teams.write(w)
	}
	writeString(w, "}")
}

func (l entryTexts) write(w io.Writer) {
	writeString(w, "[")
	for i, t := range l {
		if i > 0 {
			writeString(w, ",")
		}
		_, _ = w.Write(t)
	}
	writeString(w, "]")
}

func writeString(w io.Writer, s string) {
	_, _ = io.WriteString(w, s)
}

// hashBuffer collects short texts and writes them to the hash in larger blocks, which
// takes less time.
type hashBuffer struct {
	hash hash.Hash
	n    int
	b    [8192]byte
}

// Write implements io.Writer.
func (g *hashBuffer) Write(p []byte) (int, error) {
	if g.n+len(p) > len(g.b) {
		g.flush()
	}
	if len(p) > len(g.b) {
		return g.hash.Write(p)
	}
	g.n += copy(g.b[g.n:], p)
	return len(p), nil
}

// WriteString implements io.StringWriter; s must be shorter than the buffer.
func (g *hashBuffer) WriteString(s string) (int, error) {
	if g.n+len(s) > len(g.b) {
		g.flush()
	}
	g.n += copy(g.b[g.n:], s)
	return len(s), nil
}

func (g *hashBuffer) flush() {
	_, _ = g.hash.Write(g.b[:g.n])
	g.n = 0
}
