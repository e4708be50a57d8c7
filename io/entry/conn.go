package entry

import (
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"magnoliaworks/io/guard"
)

// conn is a caller's connection. While a request is in progress, it can detect that the caller disconnects.
type conn struct {
	*guard.Conn
	watch *closeWatch
	// acceptedAt is the time at which the caller connected, and used is set once a request has been read. roundTrip is the
	// measured time to the caller and back; 0 if it is not known.
	acceptedAt time.Time
	used       bool
	roundTrip  time.Duration
	// afterAnswer is called when the request in progress has ended; nil if there is none.
	afterAnswer func()
}

// closeWatch waits for a disconnect by reading from a connection while no request is expected on it. Data that arrives
// early ends the watch.
type closeWatch struct {
	// disconnected is closed when the read fails, which it does when the caller disconnects.
	disconnected chan struct{}
	group        errgroup.Group
}

// Disconnected implements relay.Caller.
func (c *conn) Disconnected() <-chan struct{} {
	if c.watch != nil {
		return c.watch.disconnected
	}
	w := &closeWatch{
		disconnected: make(chan struct{}),
	}
	c.watch = w
	if c.Ahead() {
		return w.disconnected
	}
	_ = c.SetReadDeadline(time.Time{})
	w.group.Go(func() error {
		err := c.ReadAhead()
		if timeout, ok := err.(net.Error); err != nil && (!ok || !timeout.Timeout()) {
			close(w.disconnected)
		}
		return nil
	})
	return w.disconnected
}

// way returns the time of the caller's wait that passes on the network, for a request that was read at the given time: a round trip,
// and another one if the caller has connected for this request. It is 0 if unknown.
func (c *conn) way(arrived time.Time) time.Duration {
	first := !c.used
	if first {
		c.used = true
		c.roundTrip = measureRoundTrip(c.Conn)
	}
	if first && arrived.Sub(c.acceptedAt) < c.roundTrip {
		return 2 * c.roundTrip
	}
	return c.roundTrip
}

// AfterAnswer implements relay.Caller.
func (c *conn) AfterAnswer(f func()) { c.afterAnswer = f }

// requestEnded calls what AfterAnswer has set. It runs on the goroutine that serves the connection, after the write.
func (c *conn) requestEnded() {
	if f := c.afterAnswer; f != nil {
		c.afterAnswer = nil
		f()
	}
}

// stopWatching ends the watch, if any, so that the connection can be read from again.
func (c *conn) stopWatching() {
	if c.watch == nil {
		return
	}
	// A read deadline in the past ends a blocked read; on a closed connection the read has ended.
	_ = c.SetReadDeadline(time.Unix(1, 0))
	_ = c.watch.group.Wait()
	c.watch = nil
	_ = c.SetReadDeadline(time.Time{})
}

// connListener wraps accepted connections in a conn, so that disconnects can be detected.
type connListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l connListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	guarded, ok := c.(*guard.Conn)
	if !ok {
		return c, nil
	}
	return &conn{
		Conn:       guarded,
		acceptedAt: time.Now(),
	}, nil
}
