package analyzer

import (
	"bytes"
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestSummary(t *testing.T) {
	f, err := os.Open(filepath.Join("testdata", "host.log"))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	s, err := Analyze(Request{}, []io.Reader{f})
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := s.Write(&b); err != nil {
		t.Fatal(err)
	}
	golden := filepath.Join("testdata", "summary.golden")
	if *update {
		if err := os.WriteFile(golden, b.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if b.String() != string(want) {
		t.Errorf("got\n%swant\n%s", b.String(), want)
	}
}

func TestSummaryOfOneGroup(t *testing.T) {
	f, err := os.Open(filepath.Join("testdata", "host.log"))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	s, err := Analyze(Request{Group: "cards", Window: time.Second}, []io.Reader{f})
	if err != nil {
		t.Fatal(err)
	}
	if s.Lost != 1 || len(s.Groups) != 1 || len(s.Groups[0].Windows) != 1 || s.Causes[0].Why != "read *: no answer in time" {
		t.Errorf("summary %+v", s)
	}
}

func TestNoStatements(t *testing.T) {
	if _, err := Analyze(Request{}, []io.Reader{strings.NewReader("{}\n")}); !errors.Is(err, ErrNoStatement) {
		t.Errorf("error %v", err)
	}
}
