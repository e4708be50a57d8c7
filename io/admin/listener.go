// Package admin serves operators over HTTP: commands and metrics.
package admin

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"magnoliaworks/core/bound"
	"magnoliaworks/core/shell"
	"magnoliaworks/io/guard"
)

// Paths of the operators' interface.
const (
	CommandPath = "/v1/command"
	MetricsPath = "/metrics"
)

const (
	// maxBodyBytes bounds the body of a command, and readTimeout the arrival of one request.
	maxBodyBytes = 2 << 20
	readTimeout  = 10 * time.Second
	// writeTimeout bounds the sending of one answer, idleTimeout the wait for the next request.
	writeTimeout = 10 * time.Second
	idleTimeout  = 60 * time.Second
)

// Executor runs operators' commands.
type Executor interface {
	// Run runs one command and returns its output.
	Run(ctx context.Context, origin shell.Origin, text string) (shell.Output, error)
}

// CommandBody is the JSON form of a command and the operator who sends it.
type CommandBody struct {
	Operator string `json:"operator"`
	Command  string `json:"command"`
}

// ResultBody is the JSON form of a result; Error is empty when the command succeeded.
type ResultBody struct {
	Error  string       `json:"error,omitempty"`
	Output shell.Output `json:"output"`
}

// Listener is the HTTP listener for operators.
type Listener struct {
	executor Executor
	metrics  fasthttp.RequestHandler
	door     *guard.Door
	server   fasthttp.Server
	ctx      atomic.Pointer[context.Context]
}

// Options are the dependencies of a Listener.
type Options struct {
	Executor Executor
	// Metrics answers requests of MetricsPath.
	Metrics fasthttp.RequestHandler
	// Limit is what the listener may hold for all operators together.
	Limit bound.Listener
	// CountEvent counts refusals by name; it may be nil.
	CountEvent func(name string)
	Log        hclog.Logger
}

// New returns a listener that passes commands to an executor.
func New(options Options) *Listener {
	l := &Listener{
		executor: options.Executor,
		metrics:  options.Metrics,
		door: guard.New(guard.Options{
			Name:        "operators",
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
		WriteTimeout:          writeTimeout,
		IdleTimeout:           idleTimeout,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
	}
	l.door.Protect(&l.server)
	return l
}

// Serve serves operators on ln until Shutdown. Commands are cancelled when ctx ends.
func (l *Listener) Serve(ctx context.Context, ln net.Listener) error {
	l.ctx.Store(&ctx)
	return errors.Wrap(l.server.Serve(l.door.Listener(ln)), "serve operators")
}

// Shutdown stops listening and waits until commands in progress are answered or ctx ends.
func (l *Listener) Shutdown(ctx context.Context) error {
	return errors.Wrap(l.door.Shutdown(ctx, &l.server), "shut down operators' listener")
}

func (l *Listener) handle(c *fasthttp.RequestCtx) {
	conn, guarded := c.Conn().(*guard.Conn)
	if guarded && !conn.Begin(&c.Request) {
		refuseShort(c)
		return
	}
	switch string(c.Path()) {
	case CommandPath:
		l.handleCommand(c)
	case MetricsPath:
		l.metrics(c)
	default:
		c.Error("path does not exist", fasthttp.StatusNotFound)
	}
	if guarded {
		conn.Answering(len(c.Response.Body()))
	}
}

// refuseShort answers a request for which too few bytes are left.
func refuseShort(c *fasthttp.RequestCtx) {
	c.Error(guard.ErrBytesShort.Error(), fasthttp.StatusServiceUnavailable)
	c.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
	c.SetConnectionClose()
}

// handleReadError answers a request that could not be read.
func (l *Listener) handleReadError(c *fasthttp.RequestCtx, err error) {
	if conn, ok := c.Conn().(*guard.Conn); ok && !conn.Begin(&c.Request) {
		refuseShort(c)
		return
	}
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		l.door.Count(guard.BodyTooLarge)
		c.Error("body is larger than 2 MiB", fasthttp.StatusRequestEntityTooLarge)
		return
	}
	c.Error("request is not valid HTTP", fasthttp.StatusBadRequest)
}

func (l *Listener) handleCommand(c *fasthttp.RequestCtx) {
	if !c.IsPost() {
		c.Error("method must be POST", fasthttp.StatusMethodNotAllowed)
		return
	}
	var body CommandBody
	if err := json.Unmarshal(c.PostBody(), &body); err != nil {
		c.Error("body is not a command: "+err.Error(), fasthttp.StatusBadRequest)
		return
	}
	origin := shell.Origin{
		Operator: body.Operator,
		From:     c.RemoteAddr().String(),
	}
	out, err := l.executor.Run(*l.ctx.Load(), origin, body.Command)
	result := ResultBody{
		Output: out,
	}
	if err != nil {
		result.Error = err.Error()
		c.SetStatusCode(fasthttp.StatusUnprocessableEntity)
	}
	encoded, err := json.Marshal(result)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(encoded)
}
