// Package decoder finds the JSON lines of log files.
package decoder

import (
	"bufio"
	"bytes"
	"io"
)

// maximumLine is the longest line that is read, in bytes.
const maximumLine = 1 << 20

// Each calls take with each JSON object of a log, which it may not keep. What a collector of
// logs writes before an object is left out, as are lines without one. It returns an error of
// reading, bufio.ErrTooLong for a line of more than 1 MiB.
func Each(log io.Reader, take func(object []byte)) error {
	s := bufio.NewScanner(log)
	s.Buffer(nil, maximumLine)
	for s.Scan() {
		if i := bytes.IndexByte(s.Bytes(), '{'); i >= 0 {
			take(s.Bytes()[i:])
		}
	}
	return s.Err()
}
