// Package caller serves callers over HTTP and JSON; docs/API.md describes the interface.
package caller

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"magnoliaworks/core/query"
)

// Paths of the callers' interface.
const (
	RequestPath = "/v1/request"
	ReadyPath   = "/ready"
)

const (
	// maxBodyBytes bounds the body of a request in bytes.
	maxBodyBytes = 64 << 10
	// readTimeout bounds the arrival of one request, idleTimeout the wait for the next one.
	readTimeout = 5 * time.Second
	idleTimeout = 60 * time.Second
	// writeTimeout bounds the sending of one answer.
	writeTimeout = 10 * time.Second
	// maxConnections bounds the open connections of callers.
	maxConnections = 10_000
)

// Runner runs requests.
type Runner interface {
	// Run returns the answer to a request, or a query.Refusal.
	Run(ctx context.Context, req query.Request) (query.Answer, error)
}

// Readiness reports whether the host accepts requests.
type Readiness interface {
	// Ready reports whether the load balancer may send requests to this host, and otherwise the reason.
	Ready() (reason string, ok bool)
}

// Listener is the HTTP listener for callers.
type Listener struct {
	runner       Runner
	ready        Readiness
	server       fasthttp.Server
	ctx          atomic.Pointer[context.Context]
	noKeepAlives atomic.Bool
}

// New returns a listener that passes requests to runner.
func New(runner Runner, ready Readiness) *Listener {
	l := &Listener{
		runner: runner,
		ready:  ready,
	}
	l.server = fasthttp.Server{
		Handler:               l.handle,
		ErrorHandler:          handleReadError,
		Name:                  "magnoliaworks",
		MaxRequestBodySize:    maxBodyBytes,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		WriteTimeout:          writeTimeout,
		Concurrency:           maxConnections,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
	}
	return l
}

// Serve serves callers on ln until Shutdown. Requests are cancelled when ctx ends.
func (l *Listener) Serve(ctx context.Context, ln net.Listener) error {
	l.ctx.Store(&ctx)
	return errors.Wrap(l.server.Serve(ln), "serve callers")
}

// DisableKeepAlives makes every further response close its connection, so that callers move to other hosts.
func (l *Listener) DisableKeepAlives() { l.noKeepAlives.Store(true) }

// Shutdown stops listening and waits until every accepted request is answered or ctx ends.
func (l *Listener) Shutdown(ctx context.Context) error {
	return errors.Wrap(l.server.ShutdownWithContext(ctx), "shut down callers' listener")
}

func (l *Listener) handle(c *fasthttp.RequestCtx) {
	if l.noKeepAlives.Load() {
		c.SetConnectionClose()
	}
	switch string(c.Path()) {
	case RequestPath:
		l.handleRequest(c)
	case ReadyPath:
		l.handleReady(c)
	default:
		writeRefusal(c, fasthttp.StatusNotFound, refusalBody{
			Refusal: "invalid",
			Reason:  "path does not exist; requests go to " + RequestPath,
		})
	}
}

func (l *Listener) handleReady(c *fasthttp.RequestCtx) {
	reason, ok := l.ready.Ready()
	if !ok {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		c.SetBodyString(reason + "\n")
		return
	}
	c.SetBodyString("ready\n")
}

func (l *Listener) handleRequest(c *fasthttp.RequestCtx) {
	if !c.IsPost() {
		c.Response.Header.Set(fasthttp.HeaderAllow, fasthttp.MethodPost)
		writeRefusal(c, fasthttp.StatusMethodNotAllowed, refusalBody{
			Refusal: "invalid",
			Reason:  "method must be POST",
		})
		return
	}
	req, err := decode(c.PostBody())
	if err != nil {
		writeError(c, "", err)
		return
	}
	answer, err := l.runner.Run(*l.ctx.Load(), req)
	if err != nil {
		writeError(c, req.ID, err)
		return
	}
	writeAnswer(c, answer)
}

// handleReadError answers a request that could not be read.
func handleReadError(c *fasthttp.RequestCtx, err error) {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		writeRefusal(c, fasthttp.StatusRequestEntityTooLarge, refusalBody{
			Refusal: "invalid",
			Reason:  "body is larger than 64 KiB",
		})
	case errors.As(err, &timeout) && timeout.Timeout():
		writeRefusal(c, fasthttp.StatusRequestTimeout, refusalBody{
			Refusal: "invalid",
			Reason:  "request did not arrive within " + readTimeout.String(),
		})
	default:
		writeRefusal(c, fasthttp.StatusBadRequest, refusalBody{
			Refusal: "invalid",
			Reason:  "request is not valid HTTP",
		})
	}
}
