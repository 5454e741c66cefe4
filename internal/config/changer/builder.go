package changer

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
)

// maximumEntries bounds a list, so that a few bytes can't ask for a large file.
const maximumEntries = 1 << 16

// build carries out e on a.
func build(a *Document, e edits) (*Document, error) {
	var s size
	f := &declarer.File{}
	b := &Document{File: f}
	var err error
	b.groups, f.DatabaseGroups, err = assemble(&s, a.groups, a.File.DatabaseGroups, e.Groups, err)
	b.rules, f.RoutingRules, err = assemble(&s, a.rules, a.File.RoutingRules, e.Rules, err)
	b.teams, f.Teams, err = assemble(&s, a.teams, a.File.Teams, e.Teams, err)
	f.RoutingRules, f.Teams = nonEmpty(f.RoutingRules), nonEmpty(f.Teams)
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

// limits returns the limits as a list, which is empty where they stand in no text.
func limits(d *Document) []declarer.Limits {
	if len(d.limits) == 0 {
		return nil
	}
	return []declarer.Limits{d.File.Limits}
}

// size adds up what the file that is built takes up.
type size struct {
	entries, bytes int
}

// add reports whether l still fits.
func (s *size) add(l list) bool {
	s.entries += len(l)
	for _, t := range l {
		s.bytes += len(t)
	}
	return s.entries <= maximumEntries && s.bytes <= encoder.MaximumFileBytes
}

// assemble carries out r on one list, unless an earlier one failed. The entries
// that are kept are shared with the base.
func assemble[T any](s *size, texts list, entries []T, r []run, err error) (list, []T, error) {
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
	t, l := make(list, 0, n), make([]T, 0, n)
	for _, x := range r {
		a, b, err := take(texts, entries, x)
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

// take returns the entries of one run.
func take[T any](texts list, entries []T, x run) (list, []T, error) {
	if x.Count == 0 {
		var v T
		if err := decode(x.Text, &v); err != nil {
			return nil, nil, err
		}
		return list{x.Text}, []T{v}, nil
	}
	if x.From < 0 || x.Count < 0 || x.From > len(texts) || x.Count > len(texts)-x.From || len(x.Text) > 0 {
		return nil, nil, errors.Annotatef(ErrMalformed, "%d entries from %d of %d", x.Count, x.From, len(texts))
	}
	return texts[x.From : x.From+x.Count], entries[x.From : x.From+x.Count], nil
}

// decode reads one entry, strictly as encoder.Unpack reads a whole file.
//
// A text that went on after its value would pass the digest, as the comma between
// two entries may stand in one text, and the host would decide by a file without
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
