package handler_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/apex/log"
	handlers "github.com/apex/log/handlers/json"

	"github.com/cuminwick/cuminwick/internal/admin/handler"
	"github.com/cuminwick/cuminwick/internal/caller/authenticator"
	"github.com/cuminwick/cuminwick/internal/config/follower"
	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
	"github.com/cuminwick/cuminwick/internal/platform/watcher"
	"github.com/cuminwick/cuminwick/internal/standin/storekeeper"
)

func hash(s string) string {
	h := sha256.Sum256([]byte(s))
	return hex.EncodeToString(h[:])
}

// fakeHost is an entry host on which every request ran.
type fakeHost struct {
	handler.HostControl
}

func (fakeHost) Outcome(context.Context, string, string, bool) (recorder.Outcome, error) {
	return recorder.Ran, nil
}

// startHandler runs a host that follows the configuration in a store, and returns a handler for the
// same store and the handler's log.
func startHandler(t *testing.T) (*handler.Handler, *strings.Builder) {
	t.Helper()
	name := filepath.Join(t.TempDir(), "tokens.yaml")
	text := "tokens:\n" +
		"  - {name: root, role: administrator, sha256: " + hash("root-token") + "}\n" +
		"  - {name: anna, role: team-operator, team: foerderkalkuel, sha256: " + hash("anna-token") + "}\n" +
		"  - {name: watch, role: reader, sha256: " + hash("watch-token") + "}\n"
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s := &storekeeper.Store{}
	w := &watcher.Watcher{Platform: s, Random: rand.Float64}
	f := &follower.Host{
		Name: "h1", Incarnation: "1", AvailabilityZone: "z", Platform: s, Watcher: w, Random: rand.Float64,
		Log: &log.Logger{Handler: handlers.New(io.Discard)},
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 2)
	go func() { done <- w.Run(ctx) }()
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
		<-done
	})
	var b strings.Builder
	h := &handler.Handler{
		Platform:   s,
		TokensFile: name,
		Status:     f.Status,
		Host:       fakeHost{},
		Failures:   &authenticator.FailureLimiter{PerMinute: 3},
		Log:        &log.Logger{Handler: handlers.New(&b)},
	}
	return h, &b
}

// send makes one request and returns the status and body of the response.
func send(h http.Handler, method, path, token, body string) (int, string) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+token)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

func TestOperations(t *testing.T) {
	h, logged := startHandler(t)
	b, err := os.ReadFile("../../../configuration.example.yaml")
	if err != nil {
		t.Fatal(err)
	}
	file := string(b)
	own := strings.Replace(file, "maximum-age: 2s", "maximum-age: 3s", 1)
	foreign := strings.Replace(file, "queue-length: 200", "queue-length: 1", 1)
	groupsKey := "database-groups"
	for _, c := range []struct {
		name, method, path, token, body string
		status                          int
		want                            string
	}{
		{"faults", "PUT", "/v1/configuration", "root-token", "teams: 1", 422, `"faults":[`},
		{"change by a reader", "PUT", "/v1/configuration", "watch-token", file, 403, "may only read"},
		{"first file by a team", "PUT", "/v1/configuration", "anna-token", file, 403, "forbidden"},
		{"dry run", "PUT", "/v1/configuration?dry-run=true", "root-token", file, 200, `"dry-run":true`},
		{"apply", "PUT", "/v1/configuration?note=first", "root-token", file, 200, `"outcome":"in-force"`},
		{"change of the own rule by a team", "PUT", "/v1/configuration", "anna-token", own, 200, `"outcome":"in-force"`},
		{"change of common limits by a team", "PUT", "/v1/configuration", "anna-token", foreign, 403, "queue-length"},
		{"edited from an old revision", "PUT", "/v1/configuration?from=1", "root-token", file, 409, "edited from revision 1"},
		{"validate", "POST", "/v1/configuration/validate", "watch-token", file, 200, `"faults":null`},
		{"read", "GET", "/v1/configuration", "watch-token", "", 200, groupsKey},
		{"history", "GET", "/v1/revisions", "watch-token", "", 200, `"operator":"anna"`},
		{"earlier revision", "GET", "/v1/revisions/1", "watch-token", "", 200, `"revision":1`},
		{"revision that isn't kept", "GET", "/v1/revisions/9", "watch-token", "", 404, "isn't kept"},
		{"not a revision", "GET", "/v1/revisions/x", "watch-token", "", 400, "isn't a revision"},
		{"apply an earlier revision", "POST", "/v1/revisions/1/apply", "root-token", "", 200, `"note":"revision 1 again"`},
		{"withdrawal by a team", "POST", "/v1/configuration/withdraw", "anna-token", "", 403, "administrator"},
		{"withdraw nothing", "POST", "/v1/configuration/withdraw", "root-token", "", 404, "nothing-staged"},
		{"resume", "POST", "/v1/configuration/resume", "root-token", "", 200, `"outcome":"in-force"`},
		{"status", "GET", "/v1/status", "watch-token", "", 200, `"standing"`},
		{"outcome in another team's group", "GET", "/v1/outcomes/other/k?settle=true", "anna-token", "", 403, "isn't of team"},
		{"outcome in the own group", "GET", "/v1/outcomes/kalkul-1/k", "anna-token", "", 200, `"outcome":"ran"`},
		{"drain by a team", "POST", "/v1/drain", "anna-token", "", 403, "may not drain"},
		{"no route", "GET", "/v1/nothing", "root-token", "", 404, "not found"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, a := send(h, c.method, c.path, c.token, c.body)
			if s != c.status || !strings.Contains(a, c.want) {
				t.Errorf("status %d, response %s", s, a)
			}
			if strings.Contains(a, "SCRAM") {
				t.Error("the response shows a verifier")
			}
		})
	}
	for _, x := range []string{"root-token", "anna-token", "SCRAM"} {
		if strings.Contains(logged.String(), x) {
			t.Errorf("%s is logged", x)
		}
	}
}

// An operator reads the configuration, edits it and sends it back. The verifiers in it are hidden,
// so applying the text as it is would replace those in force.
func TestReadAndWriteBack(t *testing.T) {
	h, _ := startHandler(t)
	b, err := os.ReadFile("../../../configuration.example.yaml")
	if err != nil {
		t.Fatal(err)
	}
	send(h, "PUT", "/v1/configuration", "root-token", string(b))
	_, a := send(h, "GET", "/v1/configuration", "root-token", "")
	var c handler.Configuration
	if err := json.Unmarshal([]byte(a), &c); err != nil {
		t.Fatal(err)
	}
	f := strings.Replace(c.File, "queue-length: 200", "queue-length: 150", 1)
	s, a := send(h, "PUT", "/v1/configuration", "root-token", f)
	if s != 200 || strings.Contains(a, "verifier") || strings.Count(a, `"subject"`) != 1 {
		t.Errorf("status %d, response %s", s, a)
	}
}

// An attacker guesses tokens. After a few wrong ones from an address, further attempts are refused,
// even with a valid token.
func TestWrongTokensAreBounded(t *testing.T) {
	h, _ := startHandler(t)
	for range 3 {
		if s, _ := send(h, "GET", "/v1/status", "wrong", ""); s != 401 {
			t.Errorf("status %d", s)
		}
	}
	if s, _ := send(h, "GET", "/v1/status", "root-token", ""); s != 429 {
		t.Errorf("status %d after many failures", s)
	}
}
