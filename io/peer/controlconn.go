package peer

import (
	"context"
	"net"
	"sync"
	"time"
)

// controlConns holds the open connections of a Client's controlHTTP by address. Unlike those of persistentHTTP they are checked only
// after a call got no reply, since each host has many that are seldom used. It is safe for concurrent use.
type controlConns struct {
	mu   sync.Mutex
	open map[string]map[*controlConn]bool
}

func newControlConns() *controlConns {
	return &controlConns{
		open: make(map[string]map[*controlConn]bool),
	}
}

// tracked returns a dial function that records its connections.
func (cs *controlConns) tracked(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &controlConn{
			Conn: conn,
		}
		c.forget = func() { cs.forget(address, c) }
		cs.mu.Lock()
		defer cs.mu.Unlock()
		if cs.open[address] == nil {
			cs.open[address] = make(map[*controlConn]bool)
		}
		cs.open[address][c] = true
		return c, nil
	}
}

func (cs *controlConns) forget(address string, c *controlConn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	delete(cs.open[address], c)
	if len(cs.open[address]) == 0 {
		delete(cs.open, address)
	}
}

// suspect ends the open connections to an address on which nothing has arrived since the beginning of a call that was given up, unless
// something arrives within http2PingTimeout. The HTTP/2 transport sends a PING after such a call, so that something arrives from a host
// that is only slow.
func (cs *controlConns) suspect(address string, began time.Time) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.open[address] {
		c.suspect(began)
	}
}

// controlConn is a connection of controlHTTP. A read fails if the connection is suspected and nothing arrives, upon which the HTTP
// transport closes it and opens another for the next call.
type controlConn struct {
	net.Conn
	forget func()

	mu sync.Mutex
	// heard is the time at which something last arrived.
	heard     time.Time
	suspected bool
}

// Read implements net.Conn.
func (c *controlConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.recordHeard()
	}
	return n, err
}

// Close implements net.Conn.
func (c *controlConn) Close() error {
	c.forget()
	return c.Conn.Close()
}

// suspect sets the time at which reads fail, unless it is set already or something has arrived since began.
func (c *controlConn) suspect(began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.suspected && c.heard.Before(began) {
		c.suspected = true
		// A connection on which the deadline can't be set is closed, and reads fail.
		_ = c.SetReadDeadline(time.Now().Add(http2PingTimeout))
	}
}

// recordHeard records that something has arrived, and ends a suspicion.
func (c *controlConn) recordHeard() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard = time.Now()
	if c.suspected {
		c.suspected = false
		_ = c.SetReadDeadline(time.Time{})
	}
}
