// Package caller serves callers over HTTP and JSON; docs/API.md describes it.
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
	// maxBody bounds the body of a request in bytes.
	maxBody = 64 << 10
	// readTimeout bounds the arrival of one request, idleTimeout the wait between two.
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

// Readiness tells whether the host takes requests.
type Readiness interface {
	// Ready returns the reason why the balancer should send nothing here; ok is true when there is none.
	Ready() (reason string, ok bool)
}

// Listener is the callers' listener.
type Listener struct {
	runner  Runner
	ready   Readiness
	server  fasthttp.Server
	ctx     atomic.Pointer[context.Context]
	leaving atomic.Bool
}

// New returns a listener that passes requests to runner.
func New(runner Runner, ready Readiness) *Listener {
	d := &Listener{
		runner: runner,
		ready:  ready,
	}
	d.server = fasthttp.Server{
		Handler:               d.handle,
		ErrorHandler:          readFailed,
		Name:                  "magnoliaworks",
		MaxRequestBodySize:    maxBody,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		WriteTimeout:          writeTimeout,
		Concurrency:           maxConnections,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
	}
	return d
}

// Serve serves callers on the listener until Shutdown. Requests end with ctx.
func (d *Listener) Serve(ctx context.Context, l net.Listener) error {
	d.ctx.Store(&ctx)
	return errors.Wrap(d.server.Serve(l), "serve callers")
}

// DisableKeepAlives makes every further answer close its connection, so that callers move to other hosts.
func (d *Listener) DisableKeepAlives() { d.leaving.Store(true) }

// Shutdown stops listening and waits until every accepted request has its answer or ctx ends.
func (d *Listener) Shutdown(ctx context.Context) error {
	return errors.Wrap(d.server.ShutdownWithContext(ctx), "shut down callers' listener")
}

func (d *Listener) handle(c *fasthttp.RequestCtx) {
	if d.leaving.Load() {
		c.SetConnectionClose()
	}
	switch string(c.Path()) {
	case RequestPath:
		d.request(c)
	case ReadyPath:
		d.readiness(c)
	default:
		writeRefusal(c, fasthttp.StatusNotFound, refusalBody{
			Refusal: "invalid",
			Reason:  "path does not exist; requests go to " + RequestPath,
		})
	}
}

func (d *Listener) readiness(c *fasthttp.RequestCtx) {
	reason, ok := d.ready.Ready()
	if !ok {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		c.SetBodyString(reason + "\n")
		return
	}
	c.SetBodyString("ready\n")
}

func (d *Listener) request(c *fasthttp.RequestCtx) {
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
	answer, err := d.runner.Run(*d.ctx.Load(), req)
	if err != nil {
		writeError(c, req.ID, err)
		return
	}
	writeAnswer(c, answer)
}

// readFailed answers requests that could not be read.
func readFailed(c *fasthttp.RequestCtx, err error) {
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
