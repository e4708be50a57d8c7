package stand

import (
	"net"
	"sync"
)

// tracked is a listener that can break all its connections.
type tracked struct {
	net.Listener
	mu    sync.Mutex
	ended bool
	conns map[net.Conn]struct{}
}

func newTracked(l net.Listener) *tracked {
	return &tracked{
		Listener: l,
		conns:    make(map[net.Conn]struct{}),
	}
}

// Accept implements net.Listener.
func (t *tracked) Accept() (net.Conn, error) {
	c, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	t.conns[c] = struct{}{}
	return &trackedConn{
		Conn:     c,
		listener: t,
	}, nil
}

// end closes the listener and breaks its connections.
func (t *tracked) end() {
	_ = t.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	for c := range t.conns {
		_ = c.Close()
	}
}

type trackedConn struct {
	net.Conn
	listener *tracked
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c.Conn)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
