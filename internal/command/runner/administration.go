package runner

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/admin/handler"
	"github.com/cuminwick/cuminwick/internal/fault/wrapper"
)

// administrationFlags are the flags of subcommands that call the administration API of an entry
// host.
type administrationFlags struct {
	Administration string `arg:"--administration,env:CUMINWICK_ADMINISTRATION" placeholder:"URL" default:"http://127.0.0.1:8432" help:"administration address of an entry host"`
	TokenFile      string `arg:"--token-file,env:CUMINWICK_TOKEN_FILE" placeholder:"FILE" help:"file with the operator's token"`
	AuthorityFile  string `arg:"--authority-file" placeholder:"FILE" help:"certificate authority of the administration address [default: the system's]"`
}

// Bounds of a call of the administration API.
const (
	administrationTimeout = 15 * time.Second
	maximumResponseBytes  = 16 << 20
)

// administrationClient calls the administration API of one entry host.
type administrationClient struct {
	url        string
	token      string
	httpClient *http.Client
}

// client reads the files that the flags name and returns a client.
func (f administrationFlags) client() (*administrationClient, error) {
	a := &administrationClient{url: strings.TrimSuffix(f.Administration, "/"), httpClient: &http.Client{Timeout: administrationTimeout}}
	if f.TokenFile != "" {
		b, err := os.ReadFile(f.TokenFile)
		if err != nil {
			return nil, errors.Annotate(err, "read token")
		}
		a.token = strings.TrimSpace(string(b))
	}
	if f.AuthorityFile == "" {
		return a, nil
	}
	b, err := os.ReadFile(f.AuthorityFile)
	if err != nil {
		return nil, errors.Annotate(err, "read authority")
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(b) {
		return nil, errors.Errorf("no certificate in %s", f.AuthorityFile)
	}
	a.httpClient.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: p, MinVersion: tls.VersionTLS12}}
	return a, nil
}

// call makes a request and decodes the response into v.
func (a *administrationClient) call(ctx context.Context, method, path string, v any) error {
	r, err := http.NewRequestWithContext(ctx, method, a.url+path, nil)
	if err != nil {
		return errors.Annotate(err, "make request")
	}
	r.Header.Set("Authorization", "Bearer "+a.token)
	x, err := a.httpClient.Do(r)
	if err != nil {
		return wrapper.Wrap(err, "call", a.url)
	}
	defer x.Body.Close()
	b, err := io.ReadAll(io.LimitReader(x.Body, maximumResponseBytes))
	if err != nil {
		return wrapper.Wrap(err, "read answer of", a.url)
	}
	if x.StatusCode >= http.StatusMultipleChoices {
		return wrapper.Wrap(responseError(x.StatusCode, b), "call", a.url)
	}
	return wrapper.Wrap(json.Unmarshal(b, v), "decode answer of", a.url)
}

// responseError returns the error in the body of a response, or its status text if the body has
// none.
func responseError(status int, body []byte) error {
	var f handler.Failure
	if err := json.Unmarshal(body, &f); err != nil || f.Error == "" {
		return errors.Errorf("%d %s", status, http.StatusText(status))
	}
	return errors.New(f.Error)
}

// isUp reports whether the host still responds on its administration address. Once ctx has ended it
// returns true, because the request then fails whether or not the host has stopped.
func (a *administrationClient) isUp(ctx context.Context) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, a.url+"/livez", nil)
	if err != nil {
		return false
	}
	x, err := a.httpClient.Do(r)
	if err != nil {
		return ctx.Err() != nil
	}
	x.Body.Close()
	return true
}
