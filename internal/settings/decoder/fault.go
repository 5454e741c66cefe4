package decoder

import (
	"fmt"
	"strings"

	"github.com/juju/errors"
)

// ErrFaults is the cause of every error that lists faults of a file.
const ErrFaults = errors.ConstError("file has faults")

// Fault is one thing wrong in a file.
type Fault struct {
	File string `json:"file"`
	// Line counts from one.
	Line int `json:"line"`
	// Key is the path of the key, for instance limits.drain-timeout.
	Key string `json:"key"`
	// Found describes what stands there.
	Found string `json:"found"`
	// Expected describes what should stand there.
	Expected string `json:"expected"`
}

// String returns the fault in one line, in the form that editors jump to.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: found %s, expected %s", f.File, f.Line, f.Key, f.Found, f.Expected)
}

// Faults is the error that reports all faults of a file at once.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	l := make([]string, 0, len(f))
	for _, x := range f {
		l = append(l, x.String())
	}
	return strings.Join(l, "\n")
}

// Is reports that faults have the cause ErrFaults.
func (f Faults) Is(target error) bool {
	return target == ErrFaults
}
