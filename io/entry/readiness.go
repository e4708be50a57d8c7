package entry

import (
	"context"
	"net"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"magnoliaworks/platform"
)

// Readiness tells whether the host takes new connections.
type Readiness interface {
	// Ready returns the reason why the balancer should send nothing here; ok is true when there is none.
	Ready() (reason string, ok bool)
}

// ReadinessListener tells the platform's balancer whether the host takes new connections.
type ReadinessListener struct {
	ready  Readiness
	server fasthttp.Server
}

// NewReadinessListener returns a listener that reports the state of ready.
func NewReadinessListener(ready Readiness, log hclog.Logger) *ReadinessListener {
	s := &ReadinessListener{
		ready: ready,
	}
	s.server = fasthttp.Server{
		Handler:               s.handle,
		Logger:                log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleDefault,
		WriteTimeout:          writeTimeout,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
	}
	return s
}

// Serve answers the balancer on the listener until Shutdown.
func (s *ReadinessListener) Serve(l net.Listener) error {
	return errors.Wrap(s.server.Serve(l), "serve readiness")
}

// Shutdown stops answering.
func (s *ReadinessListener) Shutdown(ctx context.Context) error {
	return errors.Wrap(s.server.ShutdownWithContext(ctx), "shut down readiness")
}

func (s *ReadinessListener) handle(c *fasthttp.RequestCtx) {
	if string(c.Path()) != platform.ReadyPath {
		c.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	reason, ok := s.ready.Ready()
	if !ok {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		c.SetBodyString(reason + "\n")
		return
	}
	c.SetBodyString("ready\n")
}
