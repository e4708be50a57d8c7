package stand

import (
	"net"
	"sync"
)

// listener accepts in-process connections.
type listener struct {
	address addr
	backlog chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func newListener(address string) *listener {
	return &listener{
		address: addr(address),
		backlog: make(chan net.Conn, 128),
		done:    make(chan struct{}),
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.address }

// offer queues a connection for Accept, or reports false when the listener is closed.
func (l *listener) offer(c net.Conn) bool {
	select {
	case <-l.done:
		return false
	default:
	}
	select {
	case l.backlog <- c:
		return true
	case <-l.done:
		return false
	}
}
