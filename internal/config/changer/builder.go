package changer

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
)

// maximumEntries bounds the entries of one list and of a whole file, so that a change of
// a few bytes can't request a large file.
const maximumEntries = 1 << 16

// applyEdits makes a new document by applying e to a, without its digest. It returns
// ErrMalformed if e refers to entries that a doesn't have or exceeds the size limits.
func applyEdits(a *Document, e edits) (*Document, error) {
	var s fileSize
	f := &declarer.File{}
	b := &Document{File: f}
	var err error
	b.groups, f.DatabaseGroups, err = assemble(&s, a.groups, a.File.DatabaseGroups, e.Groups, err)
	b.rules, f.RoutingRules, err = assemble(&s, a.rules, a.File.RoutingRules, e.Rules, err)
	b.teams, f.Teams, err = assemble(&s, a.teams, a.File.Teams, e.Teams, err)
	f.RoutingRules, f.Teams = nilIfEmpty(f.RoutingRules), nilIfEmpty(f.Teams)
	var l []declarer.Limits
	b.limits, l, err = assemble(&s, a.limits, limits(a), e.Limits, err)
	if err != nil {
		return nil, err
	}
	if len(l) > 1 {
		return nil, errors.Annotatef(ErrMalformed, "%d limits", len(l))
	}
	if len(l) == 1 {
		f.Limits = l[0]
	}
	return b, nil
}

// limits returns the limits as a list, which is empty if the file's text omits them.
func limits(d *Document) []declarer.Limits {
	if len(d.limits) == 0 {
		return nil
	}
	return []declarer.Limits{d.File.Limits}
}

// fileSize sums up the size of the file that is being built.
type fileSize struct {
	entries, bytes int
}

// add adds l and reports whether the file is still within its limits.
func (s *fileSize) add(l entryTexts) bool {
	s.entries += len(l)
	for _, t := range l {
		s.bytes += len(t)
	}
	return s.entries <= maximumEntries && s.bytes <= encoder.MaximumFileBytes
}

// assemble makes one list by the runs r from the base's texts and entries, unless err is
// set because an earlier list failed. Entries that are kept are shared with the base.
func assemble[T any](s *fileSize, texts entryTexts, entries []T, r []entryRun, err error) (entryTexts, []T, error) {
	if r == nil || err != nil {
		return nil, nil, err
	}
	n := 0
	for _, x := range r {
		n += max(1, min(x.Count, len(texts)))
		if n > maximumEntries {
			return nil, nil, errors.Annotatef(ErrMalformed, "more than %d entries", maximumEntries)
		}
	}
	t, l := make(entryTexts, 0, n), make([]T, 0, n)
	for _, x := range r {
		a, b, err := entriesOf(texts, entries, x)
		if err != nil {
			return nil, nil, err
		}
		if !s.add(a) {
			return nil, nil, errors.Annotate(ErrMalformed, "file too large")
		}
		t, l = append(t, a...), append(l, b...)
	}
	return t, l, nil
}

// entriesOf returns the entries of one run, as texts and decoded.
func entriesOf[T any](texts entryTexts, entries []T, x entryRun) (entryTexts, []T, error) {
	if x.Count == 0 {
		var v T
		if err := decode(x.Text, &v); err != nil {
			return nil, nil, err
		}
		return entryTexts{x.Text}, []T{v}, nil
	}
	if x.From < 0 || x.Count < 0 || x.From > len(texts) || x.Count > len(texts)-x.From || len(x.Text) > 0 {
		return nil, nil, errors.Annotatef(ErrMalformed, "%d entries from %d of %d", x.Count, x.From, len(texts))
	}
	return texts[x.From : x.From+x.Count], entries[x.From : x.From+x.Count], nil
}

// decode decodes one entry as strictly as encoder.Unpack decodes a whole file.
//
// It refuses text after the value. One text that holds two entries and the comma between
// them would produce the right digest, and the host would decide by a file that lacks
// the second entry.
func decode(t []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(t))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return errors.Annotatef(ErrMalformed, "decode entry: %v", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.Annotate(ErrMalformed, "entry goes on after its value")
	}
	return nil
}
