package runner

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/admin/handler"
	"github.com/cuminwick/cuminwick/internal/member/declarer"
	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
	"github.com/cuminwick/cuminwick/internal/standin/storekeeper"
)

func TestHostCommands(t *testing.T) {
	d := t.TempDir()
	s := sha256.Sum256([]byte("secret-token"))
	write := func(name, text string) string {
		n := filepath.Join(d, name)
		if err := os.WriteFile(n, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return n
	}
	token, wrong := write("token", "secret-token\n"), write("wrong", "other\n")
	x := &fakeHost{}
	h := httptest.NewServer(&handler.Handler{
		Platform:   &storekeeper.Store{},
		TokensFile: write("tokens.yaml", "tokens: [{name: anna, role: administrator, sha256: "+hex.EncodeToString(s[:])+"}]\n"),
		Host:       x,
		Log:        &log.Logger{Handler: json.New(io.Discard)},
	})
	defer h.Close()
	for _, c := range []struct {
		name   string
		args   []string
		code   int
		output string
		errors string
	}{
		{"drain", []string{"drain", "--no-wait", "--administration", h.URL, "--token-file", token}, ExitDone, "draining, ends within 1s", ""},
		{"drain with a wrong token", []string{"drain", "--administration", h.URL, "--token-file", wrong}, ExitFailed, "", "token"},
		{"drain without a token", []string{"drain", "--administration", h.URL}, ExitFailed, "", "token"},
		{"hand-over", []string{"drain", "--group", "db", "--backend-server", "db-a", "--administration", h.URL, "--token-file", token}, ExitDone, "primary of db moved off db-a", ""},
		{"hand-over of no primary", []string{"drain", "--group", "db", "--backend-server", "db-b", "--administration", h.URL, "--token-file", token}, ExitFailed, "", "db-b"},
		{"hand-over without a group", []string{"drain", "--backend-server", "db-a", "--administration", h.URL, "--token-file", token}, ExitUsage, "", "--group"},
		{"outcome", []string{"outcome", "g", "k1", "--administration", h.URL, "--token-file", token}, ExitDone, "unknown", ""},
		{"outcome made final", []string{"outcome", "g", "k1", "--settle", "--administration", h.URL, "--token-file", token}, ExitDone, "not-run", ""},
		{"outcome of a broken key", []string{"outcome", "g", "k'1", "--administration", h.URL, "--token-file", token}, ExitFailed, "", "key"},
		{"outcome without a key", []string{"outcome", "g"}, ExitUsage, "", "KEY"},
	} {
		t.Run(c.name, func(t *testing.T) {
			code, output, errs := invoke(t, c.args...)
			if code != c.code || !strings.Contains(output, c.output) || !strings.Contains(errs, c.errors) {
				t.Errorf("code %d, output %q, errors %q", code, output, errs)
			}
		})
	}
	if x.drained != 1 {
		t.Errorf("drained %d times", x.drained)
	}
}

// fakeHost is an entry host that has recorded no outcome. db-a is the primary of each group.
type fakeHost struct {
	drained int
}

func (h *fakeHost) StartDrain() { h.drained++ }

func (h *fakeHost) HandOver(_ context.Context, _, s string) error {
	if s != "db-a" {
		return errors.NotFoundf("primary on %s", s)
	}
	return nil
}

func (h *fakeHost) DrainTimeout() time.Duration { return time.Second }
func (h *fakeHost) MemberView() declarer.View   { return declarer.View{} }

func (h *fakeHost) Outcome(_ context.Context, _, _ string, settle bool) (recorder.Outcome, error) {
	if settle {
		return recorder.NotRun, nil
	}
	return recorder.Unknown, nil
}
