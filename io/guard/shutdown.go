package guard

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/bound"
	"magnoliaworks/core/timer"
)

const (
	// shutdownIdleTimeout is the idle timeout of connections while a server shuts down. A client that has just connected sends its
	// request within it, also if it is slow.
	shutdownIdleTimeout = 2 * time.Second
	// shutdownPeriod is the time between two checks for such connections.
	shutdownPeriod = 100 * time.Millisecond
)

// Shutdown stops a server whose connections come from Listener. It waits until its requests are answered, and closes connections
// without a request, which the server alone keeps for five seconds when they are new. It returns an error if requests are still in
// progress when ctx ends; one that has arrived in part is not.
func (d *Door) Shutdown(ctx context.Context, s *fasthttp.Server) error {
	stopping, stopped := context.WithCancel(ctx)
	var group errgroup.Group
	group.Go(func() error {
		defer stopped()
		return s.ShutdownWithContext(ctx)
	})
	for {
		d.CloseIdle(shutdownIdleTimeout)
		if timer.Sleep(stopping, shutdownPeriod) != nil {
			break
		}
	}
	err := group.Wait()
	if err == nil || ctx.Err() == nil {
		return err
	}
	// The server also counts its wait for the next connection, which may end after ctx.
	if n := d.inProgress(); n > 0 {
		return errors.Wrapf(err, "wait for %d requests in progress", n)
	}
	return nil
}

// inProgress returns the number of requests that have been read and not yet been answered.
func (d *Door) inProgress() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, client := range d.clients(time.Now()) {
		if client.Phase == bound.Serving || client.Phase == bound.Answering {
			n++
		}
	}
	return n
}
