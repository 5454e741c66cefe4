package decoder

import (
	"fmt"
	"strings"

	"github.com/juju/errors"
)

// ErrFaults is the error that errors.Is finds in every Faults.
const ErrFaults = errors.ConstError("file has faults")

// Fault describes one invalid or missing value in a file.
type Fault struct {
	File string `json:"file"`
	// Line is the line number, counted from one.
	Line int `json:"line"`
	// Key is the path of the key, for example limits.drain-timeout.
	Key string `json:"key"`
	// Found describes the value in the file.
	Found string `json:"found"`
	// Expected describes a valid value.
	Expected string `json:"expected"`
}

// String returns the fault as one line that starts with file and line, so that editors can jump to it.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: found %s, expected %s", f.File, f.Line, f.Key, f.Found, f.Expected)
}

// Faults is an error that reports all faults of a file.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	l := make([]string, 0, len(f))
	for _, x := range f {
		l = append(l, x.String())
	}
	return strings.Join(l, "\n")
}

// Is reports whether target is ErrFaults.
func (f Faults) Is(target error) bool {
	return target == ErrFaults
}
