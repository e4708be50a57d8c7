// Package entry serves the platform's callers, whose requests are forwarded to backend servers as opaque messages.
package entry

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"magnoliaworks/core/bound"
	"magnoliaworks/core/lint"
	"magnoliaworks/core/query"
	"magnoliaworks/core/relay"
	"magnoliaworks/core/timer"
	"magnoliaworks/core/topo"
	"magnoliaworks/io/guard"
	"magnoliaworks/platform"
)

const (
	// maxHeaderBytes bounds the header of a request, and maxBodyBytes its body, however large the operator's limit is.
	maxHeaderBytes = 32 << 10
	maxBodyBytes   = 1 << 20
	// readTimeout bounds the arrival of a body, and that of a header where the operator states no limit; writeTimeout bounds the
	// sending of one answer.
	readTimeout  = 15 * time.Second
	writeTimeout = 15 * time.Second
	// defaultIdleTimeout is the idle timeout of callers' connections until the operator's limit is known, and of the load
	// balancer's. idleTimeoutMargin is added to the limit, since a request may be in flight when the limit passes.
	defaultIdleTimeout = 60 * time.Second
	idleTimeoutMargin  = time.Second
	// sweepPeriod is the time between two checks for idle connections.
	sweepPeriod = 100 * time.Millisecond
	// drainIdleTimeout is the idle timeout of connections while the host leaves the fleet.
	drainIdleTimeout = 200 * time.Millisecond
)

// Bounds returns the largest limits of a configuration that have an effect.
func Bounds() lint.Bounds {
	return lint.Bounds{
		MaxHeaderBytes: maxHeaderBytes,
		MaxBodyBytes:   maxBodyBytes,
	}
}

// Handler handles callers' messages.
type Handler interface {
	// Handle returns the answer to a message, or a query.Refusal.
	Handle(caller relay.Caller, m *query.Message) (relay.Answer, error)
}

// Listener is the HTTP listener for the platform's callers.
type Listener struct {
	handler      Handler
	state        *topo.Current
	timer        *timer.Service
	door         *guard.Door
	server       fasthttp.Server
	noKeepAlives atomic.Bool
}

// Options are the dependencies of a Listener.
type Options struct {
	Handler Handler
	State   *topo.Current
	Timer   *timer.Service
	Log     hclog.Logger
	// Limit is what the listener may hold for all callers together.
	Limit bound.Listener
	// Answers counts large answers until they are written, among the replies of backend servers that are read.
	Answers *bound.Bytes
	// CountEvent counts refusals by name; it may be nil.
	CountEvent func(name string)
}

// New returns a listener that passes messages to a handler.
func New(options Options) *Listener {
	l := &Listener{
		handler: options.Handler,
		state:   options.State,
		timer:   options.Timer,
	}
	l.door = guard.New(guard.Options{
		Name:        "platform_callers",
		Limit:       options.Limit,
		Answers:     options.Answers,
		MaxBody:     l.maxBody,
		HeadTimeout: l.headTimeout,
		BodyTimeout: readTimeout,
		CountEvent:  options.CountEvent,
		Log:         options.Log,
	})
	// Without IdleTimeout the server would apply ReadTimeout to idle connections; Sweep normally closes them earlier.
	l.server = fasthttp.Server{
		Handler:               l.handle,
		Logger:                connLogger{options.Log},
		ErrorHandler:          l.handleReadError,
		ConnState:             l.trackConn,
		ReadBufferSize:        maxHeaderBytes,
		MaxRequestBodySize:    maxBodyBytes,
		ReadTimeout:           readTimeout,
		IdleTimeout:           time.Hour,
		WriteTimeout:          writeTimeout,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		NoDefaultContentType:  true,
		// Parsed forms would be written anew when they are forwarded, with other bytes.
		DisablePreParseMultipartForm: true,
	}
	l.door.Protect(&l.server)
	return l
}

// Serve serves callers on ln until Shutdown.
func (l *Listener) Serve(ln net.Listener) error {
	return errors.Wrap(l.server.Serve(connListener{l.door.Listener(ln)}), "serve callers of the platform")
}

// Sweep closes connections that exceed the idle timeout, until ctx ends.
func (l *Listener) Sweep(ctx context.Context) error {
	ticks := l.timer.Subscribe(ctx, sweepPeriod)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
			l.door.CloseIdle(l.idleTimeout())
		}
	}
}

// idleTimeout returns how long a connection without requests is kept open.
func (l *Listener) idleTimeout() time.Duration {
	if config := l.state.Load().Config(); config != nil && config.Limits.IdleTimeout > 0 {
		return config.Limits.IdleTimeout + idleTimeoutMargin
	}
	return defaultIdleTimeout
}

// DisableKeepAlives makes every further response close its connection, so that callers move to other hosts.
func (l *Listener) DisableKeepAlives() { l.noKeepAlives.Store(true) }

// Drain closes connections as they become idle, until none is left or ctx ends.
func (l *Listener) Drain(ctx context.Context) {
	for l.door.Open() > 0 {
		l.door.CloseIdle(drainIdleTimeout)
		if timer.Sleep(ctx, sweepPeriod) != nil {
			return
		}
	}
}

// Shutdown stops listening and closes all connections once their requests are answered, or returns when ctx ends.
func (l *Listener) Shutdown(ctx context.Context) error {
	return errors.Wrap(l.door.Shutdown(ctx, &l.server), "shut down the listener for callers of the platform")
}

// trackConn tells the guard what a connection does, and ends the work that comes after an answer.
func (l *Listener) trackConn(nc net.Conn, state fasthttp.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	c.Track(state)
	if state == fasthttp.StateIdle || state == fasthttp.StateClosed {
		c.requestEnded()
	}
}

// maxBody returns the largest permitted body in bytes.
func (l *Listener) maxBody() int {
	if config := l.state.Load().Config(); config != nil && config.Limits.MaxBodyBytes > 0 {
		return min(config.Limits.MaxBodyBytes, maxBodyBytes)
	}
	return maxBodyBytes
}

// headTimeout returns the time within which the header of a request must arrive.
func (l *Listener) headTimeout() time.Duration {
	if config := l.state.Load().Config(); config != nil && config.Limits.HeaderTimeout > 0 {
		return config.Limits.HeaderTimeout
	}
	return readTimeout
}

// headerTooLarge reports whether the header fields of a request are longer than the operator permits.
func (l *Listener) headerTooLarge(h *fasthttp.RequestHeader) bool {
	config := l.state.Load().Config()
	return config != nil && config.Limits.MaxHeaderBytes > 0 && len(h.RawHeaders()) > config.Limits.MaxHeaderBytes
}

func (l *Listener) handle(c *fasthttp.RequestCtx) {
	if l.noKeepAlives.Load() {
		c.SetConnectionClose()
	}
	caller, ok := c.Conn().(*conn)
	if !ok {
		platform.WriteError(c, errors.Errorf("unexpected type %T of a caller's connection", c.Conn()))
		return
	}
	if !caller.Begin(&c.Request) {
		refuse(c)
		return
	}
	if l.headerTooLarge(&c.Request.Header) {
		l.door.Count(guard.HeaderTooLarge)
		c.SetStatusCode(fasthttp.StatusRequestHeaderFieldsTooLarge)
		c.SetConnectionClose()
		return
	}
	m, err := platform.ReadMessage(c)
	if err != nil {
		platform.WriteError(c, err)
		c.SetConnectionClose()
		return
	}
	m.Way = caller.way(m.Arrived)
	m.Standstill = l.timer.Standstill(m.Arrived)
	answer, err := l.handler.Handle(caller, m)
	caller.stopWatching()
	if err != nil {
		platform.WriteError(c, err)
	} else {
		platform.WriteAnswer(c, answer)
	}
	caller.Answering(len(c.Response.Body()))
	if l.noKeepAlives.Load() {
		c.SetConnectionClose()
	}
}

// refuse answers a request for which too few bytes are left. It was not passed on.
func refuse(c *fasthttp.RequestCtx) {
	platform.WriteError(c, query.NotRun{
		Reason:     guard.ErrBytesShort.Error(),
		RetryAfter: guard.RetryAfter,
	})
	c.SetConnectionClose()
}

// handleReadError answers a request that could not be read.
func (l *Listener) handleReadError(c *fasthttp.RequestCtx, err error) {
	if caller, ok := c.Conn().(*conn); ok && !caller.Begin(&c.Request) {
		refuse(c)
		return
	}
	var timeout interface{ Timeout() bool }
	var small *fasthttp.ErrSmallBuffer
	c.Response.Reset()
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		l.door.Count(guard.BodyTooLarge)
		c.Response.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
	case errors.As(err, &small):
		l.door.Count(guard.HeaderTooLarge)
		c.Response.SetStatusCode(fasthttp.StatusRequestHeaderFieldsTooLarge)
	case errors.As(err, &timeout) && timeout.Timeout():
		l.door.Count(guard.TooSlow)
		c.Response.SetStatusCode(fasthttp.StatusRequestTimeout)
	default:
		c.Response.SetStatusCode(fasthttp.StatusBadRequest)
	}
	c.Response.SetBodyString(err.Error() + "\n")
	c.SetConnectionClose()
}
