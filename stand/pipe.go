package stand

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// pipe is one end of an in-process connection that delays each direction.
type pipe struct {
	in, out *stream
	local   addr
	remote  addr
	delay   time.Duration
	once    sync.Once
	onClose func()
	// owner is the owner of the endpoint that opened the connection.
	owner string
	// byteCount counts the bytes written at both ends; it is nil when they are not counted.
	byteCount *atomic.Int64
}

// newPipe returns both ends of a connection.
func newPipe(from, to string, delay time.Duration) (client, server *pipe) {
	toServer, toClient := newStream(), newStream()
	client = &pipe{
		in:      toClient,
		out:     toServer,
		local:   addr(from),
		remote:  addr(to),
		delay:   delay,
		onClose: func() {},
	}
	server = &pipe{
		in:      toServer,
		out:     toClient,
		local:   addr(to),
		remote:  addr(from),
		delay:   delay,
		onClose: func() {},
	}
	return client, server
}

// Read implements net.Conn.
func (p *pipe) Read(b []byte) (int, error) { return p.in.read(b) }

// Write implements net.Conn.
func (p *pipe) Write(b []byte) (int, error) {
	if p.byteCount != nil {
		p.byteCount.Add(int64(len(b)))
	}
	return p.out.write(b, p.delay)
}

// Close implements net.Conn.
func (p *pipe) Close() error {
	p.once.Do(func() {
		p.out.close()
		p.in.abort()
		p.onClose()
	})
	return nil
}

// LocalAddr implements net.Conn.
func (p *pipe) LocalAddr() net.Addr { return p.local }

// RemoteAddr implements net.Conn.
func (p *pipe) RemoteAddr() net.Addr { return p.remote }

// SetDeadline implements net.Conn. It sets the read deadline only, since writes never block.
func (p *pipe) SetDeadline(t time.Time) error { return p.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (p *pipe) SetReadDeadline(t time.Time) error {
	p.in.setDeadline(t)
	return nil
}

// SetWriteDeadline implements net.Conn; it has no effect, since writes never block.
func (*pipe) SetWriteDeadline(time.Time) error { return nil }

// silence discards all further data in both directions without closing the connection.
func (p *pipe) silence(on bool) {
	p.in.setSilent(on)
	p.out.setSilent(on)
}

// hold stops delivery in both directions until it is called with false; what is written meanwhile is kept.
func (p *pipe) hold(on bool) {
	p.in.setHeld(on)
	p.out.setHeld(on)
}

// addr is the address of one end of a pipe.
type addr string

// Network implements net.Addr.
func (addr) Network() string { return "tcp" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }

// OwnerOf returns the owner of the endpoint that opened an in-process connection, and "" for other connections.
func OwnerOf(c net.Conn) string {
	if p, ok := c.(*pipe); ok {
		return p.owner
	}
	return ""
}
