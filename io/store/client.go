// Package store is the HTTP client of the platform's object API, which docs/STORE-PROTOCOL.md describes.
// A change of that API affects only this package.
package store

import (
	"context"
	"encoding/json"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"magnoliaworks/core/object"
	"magnoliaworks/core/syncer"
)

// Paths and header fields of the protocol.
const (
	ObjectPath      = "/objects/"
	WatchPath       = "/watch"
	VersionHeader   = "X-Version"
	IfVersionHeader = "X-If-Version"
)

const (
	callTimeout = time.Second
	// watchTimeout is the time for which the platform holds a watch open while nothing changes.
	watchTimeout = 5 * time.Second
	// watchGrace is the time after watchTimeout at which an unanswered watch fails.
	watchGrace = time.Second
	// maxConnections bounds the connections of one host to the store.
	maxConnections = 16
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 64 << 20
)

// Client reads, writes and watches objects. It implements object.Store and is safe for concurrent use.
type Client struct {
	http fasthttp.HostClient
}

// New returns a client of the store at address; a nil dial means TCP.
func New(address string, dial func(address string) (net.Conn, error)) *Client {
	return &Client{
		http: fasthttp.HostClient{
			Addr:                      address,
			Dial:                      dial,
			MaxConns:                  maxConnections,
			MaxIdemponentCallAttempts: 1,
			DisablePathNormalizing:    true,
			NoDefaultUserAgentHeader:  true,
			MaxResponseBodySize:       maxResponseBytes,
			RetryIfErr:                neverRetry,
		},
	}
}

// Get implements object.Store.
func (c *Client) Get(ctx context.Context, key string) (object.Object, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(c.uri(ObjectPath + key))
	if err := c.do(ctx, request, response, callTimeout); err != nil {
		return object.Object{}, errors.Wrapf(err, "get %s from the store", key)
	}
	switch code := response.StatusCode(); code {
	case fasthttp.StatusOK:
		version, err := versionOf(response)
		return object.Object{
			Key:     key,
			Version: version,
			Value:   append([]byte(nil), response.Body()...),
		}, errors.Wrapf(err, "get %s from the store", key)
	case fasthttp.StatusNotFound:
		return object.Object{}, errors.Wrapf(object.ErrAbsent, "get %s from the store", key)
	default:
		return object.Object{}, errors.Errorf("get %s from the store: HTTP status %d", key, code)
	}
}

// Put implements object.Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(c.uri(ObjectPath + key))
	request.Header.SetMethod(fasthttp.MethodPut)
	request.Header.Set(IfVersionHeader, strconv.FormatUint(ifVersion, 10))
	request.SetBodyRaw(value)
	if err := c.do(ctx, request, response, callTimeout); err != nil {
		return 0, errors.Wrapf(err, "put %s to the store", key)
	}
	switch code := response.StatusCode(); code {
	case fasthttp.StatusOK:
		version, err := versionOf(response)
		return version, errors.Wrapf(err, "put %s to the store", key)
	case fasthttp.StatusConflict:
		return 0, errors.Wrapf(object.ErrConflict, "put %s to the store", key)
	default:
		return 0, errors.Errorf("put %s to the store: HTTP status %d", key, code)
	}
}

// Watch implements syncer.Store. It watches the objects of the configuration and of the index.
func (c *Client) Watch(ctx context.Context, after uint64) ([]syncer.StoredObject, uint64, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	query := url.Values{
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(watchTimeout.Milliseconds(), 10)},
		"prefix":  {"config/", "index/"},
	}
	request.SetRequestURI(c.uri(WatchPath + "?" + query.Encode()))
	if err := c.do(ctx, request, response, watchTimeout+watchGrace); err != nil {
		return nil, 0, errors.Wrap(err, "watch the store")
	}
	if code := response.StatusCode(); code != fasthttp.StatusOK {
		return nil, 0, errors.Errorf("watch the store: HTTP status %d", code)
	}
	var changes Changes
	if err := json.Unmarshal(response.Body(), &changes); err != nil {
		return nil, 0, errors.Wrap(err, "decode watch of the store")
	}
	return changes.storedObjects(), changes.Revision, nil
}

func (c *Client) uri(path string) string { return "http://" + c.http.Addr + path }

// do sends a request and waits for the response until the timeout or the deadline of ctx, whichever is earlier.
// A cancellation of ctx does not end a call that has begun.
func (c *Client) do(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response, timeout time.Duration) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	callDeadline := time.Now().Add(timeout)
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(callDeadline) {
		callDeadline = deadline
	}
	return c.http.DoDeadline(request, response, callDeadline)
}

// versionOf returns the object's version from the header of a response.
func versionOf(response *fasthttp.Response) (uint64, error) {
	return strconv.ParseUint(string(response.Header.Peek(VersionHeader)), 10, 64)
}

// neverRetry disables the retries of fasthttp: the calling code has to find out whether a failed call took effect.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }
