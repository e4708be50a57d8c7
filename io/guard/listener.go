package guard

import (
	"crypto/tls"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/core/bound"
)

const (
	// refusalTimeout bounds the writing of the answer to a connection that isn't accepted, which fits into its send buffer.
	refusalTimeout = 10 * time.Millisecond
	// fullGap is the time for which no connection is looked for that makes room, after none was found.
	fullGap = 50 * time.Millisecond
	// descriptorsGap is the pause after a connection that couldn't be accepted for want of a descriptor.
	descriptorsGap = 50 * time.Millisecond
)

// connRefusal is the answer to a connection that isn't accepted; nothing was read from it.
var connRefusal = []byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: " +
	strconv.FormatFloat(RetryAfter.Seconds(), 'f', 3, 64) + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")

// Listener returns a listener whose connections the guard admits.
func (d *Door) Listener(l net.Listener) net.Listener {
	return &listener{
		Listener: l,
		door:     d,
	}
}

// listener passes on the connections of another listener that are within the limit.
type listener struct {
	net.Listener
	door *Door
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			// The server would end with this error, and the host with it.
			l.door.Count(descriptorsShort)
			l.door.evict()
			time.Sleep(descriptorsGap)
			continue
		}
		if err != nil {
			return nil, err
		}
		if guarded, ok := l.door.admit(c); ok {
			return guarded, nil
		}
		if _, encrypted := c.(*tls.Conn); !encrypted {
			// Writing to the others would wait for their handshake.
			_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
			_, _ = c.Write(connRefusal)
		}
		_ = c.Close()
		l.door.Count(connRefused)
	}
}

// admit adds a connection, in the place of another one if there are as many as permitted; ok is false if none can be closed.
func (d *Door) admit(c net.Conn) (guarded *Conn, ok bool) {
	now := time.Now()
	guarded = &Conn{
		Conn:  c,
		door:  d,
		since: now,
	}
	d.mu.Lock()
	var evicted *Conn
	if len(d.conns) >= d.options.Limit.Conns {
		if now.Before(d.fullUntil) {
			d.mu.Unlock()
			return nil, false
		}
		if evicted, ok = bound.Choose(d.clients(now)); !ok {
			d.fullUntil = now.Add(fullGap)
			d.mu.Unlock()
			return nil, false
		}
		delete(d.conns, evicted)
	}
	d.conns[guarded] = true
	d.mu.Unlock()
	d.bytes.Add(d.options.Limit.ConnBytes)
	if evicted != nil {
		_ = evicted.Close()
		d.Count(connEvicted)
	}
	return guarded, true
}

// evict closes the connection that makes room, if there is one.
func (d *Door) evict() {
	d.mu.Lock()
	evicted, ok := bound.Choose(d.clients(time.Now()))
	if ok {
		delete(d.conns, evicted)
	}
	d.mu.Unlock()
	if ok {
		_ = evicted.Close()
		d.Count(connEvicted)
	}
}

// remove returns the bytes of a connection that has ended.
func (d *Door) remove(c *Conn) {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	c.mu.Unlock()
	if first {
		d.bytes.Give(d.options.Limit.ConnBytes)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.conns, c)
}
