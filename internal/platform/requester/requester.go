// Package requester implements the client of the platform's object service over HTTP and JSON.
package requester

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/watchdog"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// Defaults of a Client.
const (
	// DefaultTimeout bounds the wait for the beginning of the answer to each call except a watch,
	// and the wait for each further part of an answer.
	DefaultTimeout = 5 * time.Second
	// DefaultWait is how long the service may hold one watch.
	DefaultWait = 4 * time.Second
)

// maximumAnswerBytes bounds the body of an answer, and so the memory that it takes.
const maximumAnswerBytes = 64 << 20

// Client is an accessor.Platform over HTTP. Its fields are set before use.
type Client struct {
	// Address is the platform's URL, or its host and port for plain HTTP.
	Address string
	// Token is sent as a bearer token unless empty.
	Token string
	// HTTP makes the calls, http.DefaultClient if unset.
	HTTP *http.Client
	// Timeout has the meaning of DefaultTimeout, which is used if it is unset.
	Timeout time.Duration
	// Wait is how long the service may hold one watch, DefaultWait if unset.
	Wait time.Duration
	// OnInvalid, if not nil, is called when other entries of the host list than before can't be read.
	OnInvalid func(error)

	mu sync.Mutex
	// invalid describes the entries of the last host list that couldn't be read.
	invalid string
}

var _ accessor.Platform = (*Client)(nil)

// Get returns one object, or accessor.ErrNotFound.
func (c *Client) Get(ctx context.Context, kind, name string) (accessor.Object, error) {
	var o accessor.Object
	ctx, cancel := c.bound(ctx, 0)
	defer cancel()
	err := c.call(ctx, http.MethodGet, objectPath(kind, name), nil, &o)
	if err == nil {
		err = checkObject(o, kind, name, 0)
	}
	return o, errors.Annotatef(err, "get object %s/%s from platform %s", kind, name, c.Address)
}

// Put stores o if the stored version equals o.Version, and returns accessor.ErrConflict otherwise. It
// returns accessor.ErrTooLarge without a call if the value is too large.
func (c *Client) Put(ctx context.Context, o accessor.Object) (accessor.Object, error) {
	if len(o.Value) > accessor.MaximumValueBytes {
		return o, errors.Annotatef(accessor.ErrTooLarge, "put object %s/%s of %d bytes", o.Kind, o.Name, len(o.Value))
	}
	var p accessor.Object
	ctx, cancel := c.bound(ctx, 0)
	defer cancel()
	err := c.call(ctx, http.MethodPut, objectPath(o.Kind, o.Name), o, &p)
	if err == nil {
		err = checkPut(p, o)
	}
	return p, errors.Annotatef(err, "put object %s/%s at platform %s", o.Kind, o.Name, c.Address)
}

// List returns all objects of a kind, ordered by name.
func (c *Client) List(ctx context.Context, kind string) ([]accessor.Object, error) {
	var l []accessor.Object
	ctx, cancel := c.bound(ctx, 0)
	defer cancel()
	err := c.call(ctx, http.MethodGet, "/objects/"+url.PathEscape(kind), nil, &l)
	if err == nil {
		err = checkList(l, kind)
	}
	return l, errors.Annotatef(err, "list objects %s of platform %s", kind, c.Address)
}

// Watch waits until the object's version is above after. If the service ends the wait first, it returns
// accessor.ErrUnchanged or accessor.ErrNotFound.
func (c *Client) Watch(ctx context.Context, kind, name string, after accessor.Version) (accessor.Object, error) {
	d := c.Wait
	if d <= 0 {
		d = DefaultWait
	}
	// The service answers within d, so a call that takes longer than d and the timeout has failed.
	// Without a bound a watch on a dead connection would never end.
	ctx, cancel := c.bound(ctx, d)
	defer cancel()
	q := url.Values{
		"after": {strconv.FormatUint(uint64(after), 10)},
		"wait":  {d.String()},
	}
	p := "/watches/" + url.PathEscape(kind) + "/" + url.PathEscape(name) + "?" + q.Encode()
	var o accessor.Object
	err := c.call(ctx, http.MethodGet, p, nil, &o)
	if err == nil {
		err = checkObject(o, kind, name, after)
	}
	return o, errors.Annotatef(err, "watch object %s/%s of platform %s", kind, name, c.Address)
}

// Hosts returns the host list, without the entries that can't be read.
func (c *Client) Hosts(ctx context.Context) ([]accessor.Host, error) {
	var l []accessor.Host
	ctx, cancel := c.bound(ctx, 0)
	defer cancel()
	b, err := c.read(ctx, http.MethodGet, "/hosts", nil)
	if err == nil {
		l, err = c.decodeHosts(b)
	}
	return l, errors.Annotatef(err, "get host list of platform %s", c.Address)
}

// call makes one HTTP call with the JSON of request, unless it is nil, as its body, and decodes the
// answer into a.
func (c *Client) call(ctx context.Context, method, path string, request, a any) error {
	b, err := c.read(ctx, method, path, request)
	if err != nil {
		return err
	}
	return errors.Annotate(json.Unmarshal(b, a), "decode answer")
}

// read makes one HTTP call and returns the body of the answer.
func (c *Client) read(ctx context.Context, method, path string, request any) ([]byte, error) {
	b, err := encodeBody(request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.base()+path, b)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if c.Token != "" {
		r.Header.Set("Authorization", "Bearer "+c.Token)
	}
	p, err := c.client().Do(r)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer p.Body.Close()
	watchdog.Progress(ctx)
	l := io.LimitReader(watchdog.Reader{Context: ctx, Source: p.Body}, maximumAnswerBytes)
	if p.StatusCode != http.StatusOK {
		return nil, statusError(p.StatusCode, l)
	}
	a, err := io.ReadAll(l)
	return a, errors.Annotate(err, "read answer")
}

func (c *Client) client() *http.Client {
	if c.HTTP == nil {
		return http.DefaultClient
	}
	return c.HTTP
}

// base returns the URL that all paths are appended to.
func (c *Client) base() string {
	if strings.Contains(c.Address, "://") {
		return strings.TrimSuffix(c.Address, "/")
	}
	return "http://" + c.Address
}

func (c *Client) timeout() time.Duration {
	if c.Timeout <= 0 {
		return DefaultTimeout
	}
	return c.Timeout
}

// bound returns the context of a call whose answer the service may delay by wait.
func (c *Client) bound(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	return watchdog.WithStallTimeout(ctx, wait+c.timeout(), c.timeout())
}

// encodeBody returns the JSON of v, an empty body if v is nil.
func encodeBody(v any) (io.Reader, error) {
	if v == nil {
		return http.NoBody, nil
	}
	b, err := json.Marshal(v)
	return bytes.NewReader(b), err
}

// statusError returns the error for an HTTP status other than 200. r is the body of the answer.
func statusError(status int, r io.Reader) error {
	switch status {
	case http.StatusNoContent:
		return accessor.ErrUnchanged
	case http.StatusNotFound:
		return accessor.ErrNotFound
	case http.StatusConflict:
		return accessor.ErrConflict
	case http.StatusRequestEntityTooLarge:
		return accessor.ErrTooLarge
	}
	// The text is only for the log, so it may be truncated.
	t, _ := io.ReadAll(io.LimitReader(r, 512))
	return errors.Errorf("status %d: %s", status, bytes.TrimSpace(t))
}

func objectPath(kind, name string) string {
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}
