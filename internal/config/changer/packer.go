package changer

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/config/encoder"
)

// compressionDictionary returns the first entry of each list, which the other entries
// resemble. As a preset dictionary it saves the keys, which make up most of a small change.
func (d *Document) compressionDictionary() []byte {
	var b []byte
	for _, l := range []entryTexts{d.limits, d.rules, d.teams, d.groups} {
		if len(l) > 0 {
			b = append(b, l[0]...)
		}
	}
	return b
}

func pack(p, dictionary []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriterDict(&b, flate.BestCompression, dictionary)
	if err != nil {
		return nil, errors.Annotate(err, "compress change")
	}
	if _, err := w.Write(p); err != nil {
		return nil, errors.Annotate(err, "compress change")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Annotate(err, "compress change")
	}
	return b.Bytes(), nil
}

func unpack(p, dictionary []byte) ([]byte, error) {
	r := flate.NewReaderDict(bytes.NewReader(p), dictionary)
	b, err := io.ReadAll(io.LimitReader(r, encoder.MaximumFileBytes+1))
	if err != nil {
		return nil, errors.Annotatef(ErrMalformed, "%v", err)
	}
	if len(b) > encoder.MaximumFileBytes {
		return nil, errors.Annotatef(ErrMalformed, "more than %d bytes", encoder.MaximumFileBytes)
	}
	return b, nil
}
