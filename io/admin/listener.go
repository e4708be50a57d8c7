// Package admin serves operators over HTTP: commands and metrics.
package admin

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"magnoliaworks/core/shell"
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
	server   fasthttp.Server
	ctx      atomic.Pointer[context.Context]
}

// New returns a listener that passes commands to executor and requests of MetricsPath to metrics.
func New(executor Executor, metrics fasthttp.RequestHandler) *Listener {
	l := &Listener{
		executor: executor,
	}
	l.server = fasthttp.Server{
		Handler: func(c *fasthttp.RequestCtx) {
			switch string(c.Path()) {
			case CommandPath:
				l.handleCommand(c)
			case MetricsPath:
				metrics(c)
			default:
				c.Error("path does not exist", fasthttp.StatusNotFound)
			}
		},
		Name:                  "magnoliaworks",
		MaxRequestBodySize:    maxBodyBytes,
		ReadTimeout:           readTimeout,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
	}
	return l
}

// Serve serves operators on ln until Shutdown. Commands are cancelled when ctx ends.
func (l *Listener) Serve(ctx context.Context, ln net.Listener) error {
	l.ctx.Store(&ctx)
	return errors.Wrap(l.server.Serve(ln), "serve operators")
}

// Shutdown stops listening and waits until commands in progress are answered or ctx ends.
func (l *Listener) Shutdown(ctx context.Context) error {
	return errors.Wrap(l.server.ShutdownWithContext(ctx), "shut down operators' listener")
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
