package entry

import (
	"context"
	"net"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"magnoliaworks/platform"
)

// Readiness reports whether the host accepts new connections.
type Readiness interface {
	// Ready reports whether the load balancer may send connections to this host, and otherwise the reason.
	Ready() (reason string, ok bool)
}

// ReadinessListener answers the readiness probes of the platform's load balancer.
type ReadinessListener struct {
	ready  Readiness
	server fasthttp.Server
}

// NewReadinessListener returns a listener that reports what ready returns.
func NewReadinessListener(ready Readiness, log hclog.Logger) *ReadinessListener {
	l := &ReadinessListener{
		ready: ready,
	}
	l.server = fasthttp.Server{
		Handler:               l.handle,
		Logger:                log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		ReadTimeout:           readTimeout,
		IdleTimeout:           defaultIdleTimeout,
		WriteTimeout:          writeTimeout,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
	}
	return l
}

// Serve answers the load balancer on ln until Shutdown.
func (l *ReadinessListener) Serve(ln net.Listener) error {
	return errors.Wrap(l.server.Serve(ln), "serve readiness probes")
}

// Shutdown stops listening and waits until all probes are answered or ctx ends.
func (l *ReadinessListener) Shutdown(ctx context.Context) error {
	return errors.Wrap(l.server.ShutdownWithContext(ctx), "shut down the listener for readiness probes")
}

func (l *ReadinessListener) handle(c *fasthttp.RequestCtx) {
	if string(c.Path()) != platform.ReadyPath {
		c.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	reason, ok := l.ready.Ready()
	if !ok {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		c.SetBodyString(reason + "\n")
		return
	}
	c.SetBodyString("ready\n")
}
