package entry

import (
	"context"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"magnoliaworks/core/bound"
	"magnoliaworks/io/guard"
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
	door   *guard.Door
	server fasthttp.Server
}

const (
	// maxProbeBytes bounds the body of a probe, which needs none.
	maxProbeBytes = 4 << 10
	// probeTimeout bounds the arrival of a probe.
	probeTimeout = 5 * time.Second
)

// NewReadinessListener returns a listener that reports what ready returns, and holds what limit permits for all load balancers.
func NewReadinessListener(ready Readiness, limit bound.Listener, countEvent func(string), log hclog.Logger) *ReadinessListener {
	l := &ReadinessListener{
		ready: ready,
		door: guard.New(guard.Options{
			Name:        "readiness",
			Limit:       limit,
			MaxBody:     func() int { return maxProbeBytes },
			HeadTimeout: func() time.Duration { return probeTimeout },
			BodyTimeout: probeTimeout,
			CountEvent:  countEvent,
			Log:         log,
		}),
	}
	l.server = fasthttp.Server{
		Handler:               l.handle,
		MaxRequestBodySize:    maxProbeBytes,
		ReadTimeout:           probeTimeout,
		IdleTimeout:           defaultIdleTimeout,
		WriteTimeout:          writeTimeout,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
	}
	l.door.Protect(&l.server)
	return l
}

// Serve answers the load balancer on ln until Shutdown.
func (l *ReadinessListener) Serve(ln net.Listener) error {
	return errors.Wrap(l.server.Serve(l.door.Listener(ln)), "serve readiness probes")
}

// Shutdown stops listening and waits until all probes are answered or ctx ends.
func (l *ReadinessListener) Shutdown(ctx context.Context) error {
	return errors.Wrap(l.door.Shutdown(ctx, &l.server), "shut down the listener for readiness probes")
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
