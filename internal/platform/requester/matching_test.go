package requester_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/platform/accessor"
	"github.com/cuminwick/cuminwick/internal/platform/requester"
)

// answering returns a client of a service that gives this answer to every call.
func answering(t *testing.T, status int, body string) *requester.Client {
	t.Helper()
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(h.Close)
	return &requester.Client{Address: strings.TrimPrefix(h.URL, "http://"), HTTP: h.Client()}
}

// Guards against the answer to another call: a late answer would be taken for the object that was
// asked for, and a change that another host made for the own one.
func TestAnswerOfAnotherCall(t *testing.T) {
	for _, tt := range []struct {
		name string
		call func(c *requester.Client) error
		body string
		// ok says that the answer is that to the call.
		ok bool
	}{
		{"get", get, `{"kind":"database-group","name":"db","version":4}`, true},
		{"get, another name", get, `{"kind":"database-group","name":"dc","version":4}`, false},
		{"get, another kind", get, `{"kind":"configuration","name":"db","version":4}`, false},
		{"get, no version", get, `{"kind":"database-group","name":"db"}`, false},
		{"get, negative version", get, `{"kind":"database-group","name":"db","version":-1}`, false},
		{"get, null", get, `null`, false},
		{"get, two answers", get, `{"kind":"database-group","name":"db","version":4}{"kind":"database-group","name":"db","version":5}`, false},
		{"get, cut", get, `{"kind":"database-group","name":"db","version":4`, false},
		{"watch", watch, `{"kind":"database-group","name":"db","version":4}`, true},
		{"watch, another name", watch, `{"kind":"database-group","name":"dc","version":4}`, false},
		{"watch, version already seen", watch, `{"kind":"database-group","name":"db","version":3}`, false},
		{"put", put, `{"kind":"database-group","name":"db","version":4,"writer":"w","value":"dg=="}`, true},
		{"put, another name", put, `{"kind":"database-group","name":"dc","version":4,"writer":"w","value":"dg=="}`, false},
		{"put, another writer", put, `{"kind":"database-group","name":"db","version":4,"writer":"x","value":"dg=="}`, false},
		{"put, another value", put, `{"kind":"database-group","name":"db","version":4,"writer":"w","value":"dw=="}`, false},
		{"put, version not raised", put, `{"kind":"database-group","name":"db","version":3,"writer":"w","value":"dg=="}`, false},
		{"list", list, `[{"kind":"database-group","name":"db","version":4}]`, true},
		{"list, empty", list, `[]`, true},
		{"list, two answers", list, `[][]`, false},
		{"list, null", list, `null`, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			err := tt.call(answering(t, http.StatusOK, tt.body))
			if (err == nil) != tt.ok {
				t.Errorf("error %v, want success %t", err, tt.ok)
			}
			if errors.Is(err, accessor.ErrConflict) || errors.Is(err, accessor.ErrNotFound) || errors.Is(err, accessor.ErrTooLarge) {
				t.Errorf("error %v says that nothing was changed", err)
			}
		})
	}
}

func get(c *requester.Client) error {
	_, err := c.Get(context.Background(), "database-group", "db")
	return err
}

func watch(c *requester.Client) error {
	_, err := c.Watch(context.Background(), "database-group", "db", 3)
	return err
}

func put(c *requester.Client) error {
	_, err := c.Put(context.Background(), accessor.Object{Kind: "database-group", Name: "db", Version: 3, Writer: "w", Value: []byte("v")})
	return err
}

func list(c *requester.Client) error {
	_, err := c.List(context.Background(), "database-group")
	return err
}

// Guards against a list that lacks an object which can't be read. A configuration would be confirmed
// as in force at all hosts without the host whose object is missing.
func TestOddObjectFailsList(t *testing.T) {
	for _, o := range []string{
		`null`, `7`, `"x"`, `[]`, `{}`,
		`{"kind":"configuration","name":7,"version":1}`,
		`{"kind":"configuration","name":"odd","version":1e400}`,
		`{"kind":"configuration","name":"odd","version":99999999999999999999}`,
		`{"kind":"configuration","name":"odd","version":-1}`,
		`{"kind":"configuration","name":"odd","version":0}`,
		`{"kind":"configuration","name":"odd","version":1,"value":"not base64"}`,
		`{"kind":"other","name":"odd","version":1}`,
		`{"kind":"configuration","version":1}`,
		`{"kind":"configuration","name":"odd","version":1,"value":` + strings.Repeat("[", 9999) + strings.Repeat("]", 9999) + `}`,
	} {
		c := answering(t, http.StatusOK, `[{"kind":"configuration","name":"a","version":1},`+o+`]`)
		if l, err := c.List(t.Context(), "configuration"); err == nil {
			t.Errorf("entry %.60s: %d objects without an error", o, len(l))
		}
	}
}

// Guards against one odd entry of the host list that costs all others, and against an address that
// can't be dialed. The list is only a hint, so what can be read of it is used.
func TestOddHostAmongOthers(t *testing.T) {
	host := `{"name":"%","kind":"entry-host","availability-zone":"z","region":"r","address":"10.0.0.1:7000","state":"live"}`
	for _, o := range []string{
		`null`, `7`, `{}`, `[]`, `"],["`, `"\\"`,
		strings.Replace(host, `"live"`, `7`, 1),
		strings.Replace(host, `"live"`, `"gone"`, 1),
		strings.Replace(host, `"entry-host"`, `"router"`, 1),
		strings.Replace(host, `10.0.0.1:7000`, `10.0.0.1:99999`, 1),
		strings.Replace(host, `10.0.0.1:7000`, `10.0.0.1:0`, 1),
		strings.Replace(host, `10.0.0.1:7000`, `10.0.0.1`, 1),
		strings.Replace(host, `"10.0.0.1:7000"`, `7e400`, 1),
		strings.Replace(host, `"%"`, `""`, 1),
		strings.Replace(host, `"r"`, strings.Repeat("[", 9999)+strings.Repeat("]", 9999), 1),
		strings.Repeat("[", 20000) + strings.Repeat("]", 20000),
	} {
		c := answering(t, http.StatusOK, `[`+strings.Replace(host, "%", "a", 1)+`,`+o+`,`+strings.Replace(host, "%", "b", 1)+`]`)
		reports := 0
		c.OnInvalid = func(error) { reports++ }
		_, _ = c.Hosts(t.Context())
		l, err := c.Hosts(t.Context())
		if used := len(l) == 3 && l[1].Address != ""; err == nil && reports != 1 && !used {
			t.Errorf("entry %.60s: %d reports of two lists", o, reports)
		}
		if err != nil || len(l) < 2 || l[0].Name != "a" || l[len(l)-1].Name != "b" {
			t.Errorf("entry %.60s: %d hosts, error %v", o, len(l), err)
		}
		for _, h := range l {
			if h.Name == "" || h.Address != "" && h.Address != "10.0.0.1:7000" {
				t.Errorf("entry %.60s: used as %+v", o, h)
			}
		}
	}
	for _, b := range []string{`null`, `{}`, `[`, `[{]`, `[{},]x`, `[] []`, ``, `[}`, `["]`} {
		if l, err := answering(t, http.StatusOK, b).Hosts(t.Context()); err == nil {
			t.Errorf("list %s: %v without an error", b, l)
		}
	}
}
