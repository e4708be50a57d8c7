package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// proxyMode determines what a proxy does with the data that it forwards.
type proxyMode int

const (
	forwardAll proxyMode = iota
	// delayBoth delays every chunk in both directions by forwardDelay. dropToServer discards what is sent to the server,
	// dropFromServer what the server sends.
	delayBoth
	dropToServer
	dropFromServer
)

// forwardDelay is the delay of every chunk in mode delayBoth.
const forwardDelay = 40 * time.Millisecond

// proxy forwards TCP connections to a server and injects faults into them.
type proxy struct {
	listener net.Listener
	target   string
	tasks    errgroup.Group

	mu   sync.Mutex
	mode proxyMode
	// conns holds the open connections, and whether what they send is discarded for good.
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a proxy")
	}
	p := &proxy{
		listener: l,
		target:   target,
		conns:    make(map[net.Conn]bool),
	}
	p.tasks.Go(p.accept)
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() error {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return nil
		}
		p.tasks.Go(func() error { return p.forward(c) })
	}
}

func (p *proxy) forward(c net.Conn) error {
	s, err := net.Dial("tcp", p.target)
	if err != nil {
		return c.Close()
	}
	p.track(c)
	p.track(s)
	var pair errgroup.Group
	pair.Go(func() error { return p.copyOneWay(s, c, dropToServer) })
	pair.Go(func() error { return p.copyOneWay(c, s, dropFromServer) })
	err = pair.Wait()
	p.forget(c)
	p.forget(s)
	return err
}

// copyOneWay copies one direction until either end closes. It discards data while the proxy is in dropMode, and
// if the connection is silenced.
func (p *proxy) copyOneWay(to, from net.Conn, dropMode proxyMode) error {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return nil
		}
		switch mode := p.currentMode(); {
		case mode == dropMode || p.silenced(from):
			continue
		case mode == delayBoth:
			time.Sleep(forwardDelay)
		}
		if _, err := to.Write(buffer[:n]); err != nil && !errors.Is(err, io.EOF) {
			_ = from.Close()
		}
	}
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = false
}

func (p *proxy) forget(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// silence discards for good what is sent on the open connections for which chance returns true. New ones work.
func (p *proxy) silence(chance func() bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.conns[c] = p.conns[c] || chance()
	}
}

func (p *proxy) silenced(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[c]
}

// setMode sets the mode for all present and future connections.
func (p *proxy) setMode(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
}

// reset closes all connections at once, with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			// SO_LINGER 0 makes Close send RST; if setting it fails, Close is orderly.
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) stop() error {
	_ = p.listener.Close()
	p.reset()
	return p.tasks.Wait()
}
