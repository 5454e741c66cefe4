package changer

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/config/encoder"
)

// sample returns a text that the entries of the file resemble. Compressing against
// it spares the keys, which make up most of a small change.
func (d *Document) sample() []byte {
	var b []byte
	for _, l := range []list{d.limits, d.rules, d.teams, d.groups} {
		if len(l) > 0 {
			b = append(b, l[0]...)
		}
	}
	return b
}

func pack(p, sample []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriterDict(&b, flate.BestCompression, sample)
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

func unpack(p, sample []byte) ([]byte, error) {
	r := flate.NewReaderDict(bytes.NewReader(p), sample)
	b, err := io.ReadAll(io.LimitReader(r, encoder.MaximumFileBytes+1))
	if err != nil {
		return nil, errors.Annotatef(ErrMalformed, "%v", err)
	}
	if len(b) > encoder.MaximumFileBytes {
		return nil, errors.Annotatef(ErrMalformed, "more than %d bytes", encoder.MaximumFileBytes)
	}
	return b, nil
}
