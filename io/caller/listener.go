// Package caller serves callers over HTTP and JSON; docs/API.md describes the interface.
package caller

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"magnoliaworks/core/bound"
	"magnoliaworks/core/query"
	"magnoliaworks/io/guard"
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
	door         *guard.Door
	server       fasthttp.Server
	ctx          atomic.Pointer[context.Context]
	noKeepAlives atomic.Bool
}

// Options are the dependencies of a Listener.
type Options struct {
	Runner Runner
	Ready  Readiness
	// Limit is what the listener may hold for all callers together.
	Limit bound.Listener
	// CountEvent counts refusals by name; it may be nil.
	CountEvent func(name string)
	Log        hclog.Logger
}

// New returns a listener that passes requests to a runner.
func New(options Options) *Listener {
	l := &Listener{
		runner: options.Runner,
		ready:  options.Ready,
		door: guard.New(guard.Options{
			Name:        "callers",
			Limit:       options.Limit,
			MaxBody:     func() int { return maxBodyBytes },
			HeadTimeout: func() time.Duration { return readTimeout },
			BodyTimeout: readTimeout,
			CountEvent:  options.CountEvent,
			Log:         options.Log,
		}),
	}
	l.server = fasthttp.Server{
		Handler:               l.handle,
		ErrorHandler:          l.handleReadError,
		Name:                  "magnoliaworks",
		MaxRequestBodySize:    maxBodyBytes,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		WriteTimeout:          writeTimeout,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
	}
	l.door.Protect(&l.server)
	return l
}

// Serve serves callers on ln until Shutdown. Requests are cancelled when ctx ends.
func (l *Listener) Serve(ctx context.Context, ln net.Listener) error {
	l.ctx.Store(&ctx)
	return errors.Wrap(l.server.Serve(l.door.Listener(ln)), "serve callers")
}

// DisableKeepAlives makes every further response close its connection, so that callers move to other hosts.
func (l *Listener) DisableKeepAlives() { l.noKeepAlives.Store(true) }

// Shutdown stops listening and waits until every accepted request is answered or ctx ends.
func (l *Listener) Shutdown(ctx context.Context) error {
	return errors.Wrap(l.door.Shutdown(ctx, &l.server), "shut down callers' listener")
}

func (l *Listener) handle(c *fasthttp.RequestCtx) {
	if l.noKeepAlives.Load() {
		c.SetConnectionClose()
	}
	conn, guarded := c.Conn().(*guard.Conn)
	if guarded && !conn.Begin(&c.Request) {
		refuseShort(c)
		return
	}
	l.route(c)
	if guarded {
		conn.Answering(len(c.Response.Body()))
	}
}

// refuseShort answers a request for which too few bytes are left.
func refuseShort(c *fasthttp.RequestCtx) {
	writeError(c, "", query.NotRun{
		Reason:     guard.ErrBytesShort.Error(),
		RetryAfter: guard.RetryAfter,
	})
	c.SetConnectionClose()
}

// route answers a request by its path.
func (l *Listener) route(c *fasthttp.RequestCtx) {
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
func (l *Listener) handleReadError(c *fasthttp.RequestCtx, err error) {
	if conn, ok := c.Conn().(*guard.Conn); ok && !conn.Begin(&c.Request) {
		refuseShort(c)
		return
	}
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		l.door.Count(guard.BodyTooLarge)
		writeRefusal(c, fasthttp.StatusRequestEntityTooLarge, refusalBody{
			Refusal: "invalid",
			Reason:  "body is larger than 64 KiB",
		})
	case errors.As(err, &timeout) && timeout.Timeout():
		l.door.Count(guard.TooSlow)
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
