package assembler

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests on one processor: the runtime of the race detector fails when timers of one synctest bubble
// fire on several threads at once.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
