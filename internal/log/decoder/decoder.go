// Package decoder extracts JSON objects from the lines of log files.
package decoder

import (
	"bufio"
	"bytes"
	"io"
)

// maximumLineBytes is the length of the longest line that is read.
const maximumLineBytes = 1 << 20

// Each calls handle for each line of log that contains '{', with the rest of the line from there on.
// The prefix that a log collector writes before the object is thus omitted. Each doesn't check that
// the object is valid JSON. handle must not keep object. Each returns an error if reading fails, and
// bufio.ErrTooLong for a line of more than 1 MiB.
func Each(log io.Reader, handle func(object []byte)) error {
	s := bufio.NewScanner(log)
	s.Buffer(nil, maximumLineBytes)
	for s.Scan() {
		if i := bytes.IndexByte(s.Bytes(), '{'); i >= 0 {
			handle(s.Bytes()[i:])
		}
	}
	return s.Err()
}
