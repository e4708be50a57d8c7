// Package entry serves the callers of the platform, whose requests go to backend servers as opaque messages.
package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"magnoliaworks/core/query"
	"magnoliaworks/core/relay"
	"magnoliaworks/core/timer"
	"magnoliaworks/core/topo"
	"magnoliaworks/platform"
)

const (
	// readBuffer bounds the header of a request in bytes, and maxBody its body whatever the operator's limit is.
	readBuffer = 32 << 10
	maxBody    = 1 << 20
	// readTimeout bounds the arrival of one request, writeTimeout the sending of one answer.
	readTimeout  = 15 * time.Second
	writeTimeout = 15 * time.Second
	// idleDefault is the time after which an idle connection is closed until the operator's limit is known,
	// and idleSlack the time beyond that limit in which a request may be on its way.
	idleDefault = 60 * time.Second
	idleSlack   = time.Second
	// maxConnections bounds the open connections of callers.
	maxConnections = 3000
	// sweepPeriod is the time between two looks for idle connections.
	sweepPeriod = 100 * time.Millisecond
	// leaveIdle is the time without a request after which a leaving host closes a connection.
	leaveIdle = 200 * time.Millisecond
)

// Handler runs messages.
type Handler interface {
	// Handle returns the answer to a message, or a query.Refusal.
	Handle(caller relay.Caller, m *query.Message) (relay.Answer, error)
}

// Listener is the listener for the platform's callers.
type Listener struct {
	handler Handler
	state   *topo.Current
	timer   *timer.Service
	server  fasthttp.Server
	leaving atomic.Bool

	mu    sync.Mutex
	conns map[*conn]bool
}

// New returns a listener that passes messages to handler.
func New(handler Handler, state *topo.Current, t *timer.Service, log hclog.Logger) *Listener {
	d := &Listener{
		handler: handler,
		state:   state,
		timer:   t,
		conns:   make(map[*conn]bool),
	}
	d.server = fasthttp.Server{
		Handler:               d.handle,
		Logger:                log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		ErrorHandler:          readFailed,
		ConnState:             d.track,
		ReadBufferSize:        readBuffer,
		MaxRequestBodySize:    maxBody,
		ReadTimeout:           readTimeout,
		IdleTimeout:           time.Hour,
		WriteTimeout:          writeTimeout,
		Concurrency:           maxConnections,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		NoDefaultContentType:  true,
	}
	return d
}

// Serve serves callers on the listener until Shutdown.
func (d *Listener) Serve(l net.Listener) error {
	return errors.Wrap(d.server.Serve(connListener{l}), "serve callers of the platform")
}

// Sweep closes connections that have been idle for too long, until ctx ends.
func (d *Listener) Sweep(ctx context.Context) error {
	ticks := d.timer.Subscribe(ctx, sweepPeriod)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
			d.closeIdle(d.idleLimit())
		}
	}
}

// idleLimit is the time for which a connection without requests is kept.
func (d *Listener) idleLimit() time.Duration {
	if plan := d.state.Load().Config(); plan != nil && plan.Limits.IdleTimeout > 0 {
		return plan.Limits.IdleTimeout + idleSlack
	}
	return idleDefault
}

// DisableKeepAlives makes every further answer close its connection, so that callers move to other hosts.
func (d *Listener) DisableKeepAlives() { d.leaving.Store(true) }

// Drain closes idle connections until no connection is left or ctx ends.
func (d *Listener) Drain(ctx context.Context) {
	for d.open() > 0 {
		d.closeIdle(leaveIdle)
		if timer.Sleep(ctx, sweepPeriod) != nil {
			return
		}
	}
}

// Shutdown stops listening and ends all connections once their requests have their answers or ctx ends.
func (d *Listener) Shutdown(ctx context.Context) error {
	return errors.Wrap(d.server.ShutdownWithContext(ctx), "shut down the listener for callers of the platform")
}

func (d *Listener) open() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.conns)
}

func (d *Listener) closeIdle(limit time.Duration) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		if c.idleFor(now) > limit {
			_ = c.Close()
		}
	}
}

// track follows the states of connections.
func (d *Listener) track(nc net.Conn, state fasthttp.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	c.note(state)
	d.mu.Lock()
	defer d.mu.Unlock()
	switch state {
	case fasthttp.StateNew:
		d.conns[c] = true
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(d.conns, c)
	}
}

func (d *Listener) handle(c *fasthttp.RequestCtx) {
	if d.leaving.Load() {
		c.SetConnectionClose()
	}
	m, err := platform.ReadMessage(c)
	if err != nil {
		platform.WriteError(c, err)
		c.SetConnectionClose()
		return
	}
	if plan := d.state.Load().Config(); plan != nil && plan.Limits.MaxBodyBytes > 0 && len(m.Body) > plan.Limits.MaxBodyBytes {
		c.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
		c.SetConnectionClose()
		return
	}
	caller, ok := c.Conn().(*conn)
	if !ok {
		platform.WriteError(c, errors.Errorf("connection has the type %T", c.Conn()))
		return
	}
	answer, err := d.handler.Handle(caller, m)
	caller.unwatch()
	if err != nil {
		platform.WriteError(c, err)
	} else {
		platform.WriteAnswer(c, answer)
	}
	if d.leaving.Load() {
		c.SetConnectionClose()
	}
}

// readFailed answers requests that could not be read.
func readFailed(c *fasthttp.RequestCtx, err error) {
	var timeout interface{ Timeout() bool }
	var small *fasthttp.ErrSmallBuffer
	c.Response.Reset()
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		c.Response.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
	case errors.As(err, &small):
		c.Response.SetStatusCode(fasthttp.StatusRequestHeaderFieldsTooLarge)
	case errors.As(err, &timeout) && timeout.Timeout():
		c.Response.SetStatusCode(fasthttp.StatusRequestTimeout)
	default:
		c.Response.SetStatusCode(fasthttp.StatusBadRequest)
	}
	c.Response.SetBodyString(err.Error() + "\n")
	c.SetConnectionClose()
}

// connListener makes connections that can be watched.
type connListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l connListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{
		Conn:      c,
		idleSince: time.Now(),
	}, nil
}
