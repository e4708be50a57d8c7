package entry

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// conn is one caller's connection. While a request is in progress it can watch whether the caller leaves.
type conn struct {
	net.Conn
	// held is a byte that was read while watching; the next Read returns it first.
	held    []byte
	watcher *watcher

	mu sync.Mutex
	// idleSince is the time of the end of the last request; zero while one is in progress.
	idleSince time.Time
}

// watcher reads from a connection on which no request is due.
type watcher struct {
	gone  chan struct{}
	group errgroup.Group
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if len(c.held) > 0 {
		n := copy(p, c.held)
		c.held = c.held[n:]
		return n, nil
	}
	return c.Conn.Read(p)
}

// Disconnected implements relay.Caller.
func (c *conn) Disconnected() <-chan struct{} {
	if c.watcher != nil {
		return c.watcher.gone
	}
	w := &watcher{
		gone: make(chan struct{}),
	}
	c.watcher = w
	if len(c.held) > 0 || c.SetReadDeadline(time.Time{}) != nil {
		return w.gone
	}
	w.group.Go(func() error {
		var b [1]byte
		n, err := c.Conn.Read(b[:])
		c.held = append(c.held, b[:n]...)
		if timeout, ok := err.(net.Error); err != nil && (!ok || !timeout.Timeout()) {
			close(w.gone)
		}
		return nil
	})
	return w.gone
}

// unwatch ends a watch, so that the connection can be read from again.
func (c *conn) unwatch() {
	if c.watcher == nil {
		return
	}
	// A deadline in the past ends a waiting read; on an error the connection is closed and the read has ended.
	_ = c.SetReadDeadline(time.Unix(1, 0))
	_ = c.watcher.group.Wait()
	c.watcher = nil
	_ = c.SetReadDeadline(time.Time{})
}

// note records whether a request is in progress.
func (c *conn) note(state fasthttp.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case fasthttp.StateActive:
		c.idleSince = time.Time{}
	case fasthttp.StateNew, fasthttp.StateIdle:
		c.idleSince = time.Now()
	}
}

// idleFor returns the time for which no request has been in progress.
func (c *conn) idleFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince.IsZero() {
		return 0
	}
	return now.Sub(c.idleSince)
}
