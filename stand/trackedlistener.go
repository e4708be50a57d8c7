package stand

import (
	"net"
	"sync"
)

// trackedListener is a listener that can close all connections that it has accepted.
type trackedListener struct {
	net.Listener
	mu     sync.Mutex
	closed bool
	conns  map[net.Conn]struct{}
}

func newTrackedListener(l net.Listener) *trackedListener {
	return &trackedListener{
		Listener: l,
		conns:    make(map[net.Conn]struct{}),
	}
}

// Accept implements net.Listener.
func (t *trackedListener) Accept() (net.Conn, error) {
	c, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	t.conns[c] = struct{}{}
	return &trackedConn{
		Conn:     c,
		listener: t,
	}, nil
}

// closeAll closes the listener and the accepted connections that are still open.
func (t *trackedListener) closeAll() {
	_ = t.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for c := range t.conns {
		_ = c.Close()
	}
}

// trackedConn is an accepted connection that its listener forgets when it closes.
type trackedConn struct {
	net.Conn
	listener *trackedListener
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c.Conn)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
