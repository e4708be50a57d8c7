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
	// holdBoth holds up all data until the mode changes, holdFromServer what the server sends.
	holdBoth
	holdFromServer
	// refuse resets new connections.
	refuse
)

// forwardDelay is the delay of every chunk in mode delayBoth.
const forwardDelay = 40 * time.Millisecond

// holdPollInterval is the time between two checks whether data is still held up.
const holdPollInterval = 5 * time.Millisecond

// proxy forwards TCP connections to a server and injects faults into them.
type proxy struct {
	listener net.Listener
	// target is the server's address; if it is empty, each connection states its own as Network.Dial does.
	target string
	tasks  errgroup.Group

	mu   sync.Mutex
	mode proxyMode
	// heldTargets counts, by target, the callers of holdTarget that hold up all data of its connections.
	heldTargets map[string]int
	conns       map[net.Conn]*end
}

// end is one end of a connection that a proxy forwards.
type end struct {
	target string
	// silenced means that what this end sends is discarded for good.
	silenced bool
	// closed means that the proxy has reset the connection.
	closed bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a proxy")
	}
	p := &proxy{
		listener: l,
		target:   target,

		heldTargets: make(map[string]int),
		conns:       make(map[net.Conn]*end),
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
	target, err := p.targetOf(c)
	if err != nil || p.currentMode() == refuse {
		closeWithReset(c)
		return nil
	}
	s, err := net.Dial("tcp", target)
	if err != nil {
		return c.Close()
	}
	p.track(c, target)
	p.track(s, target)
	var pair errgroup.Group
	pair.Go(func() error { return p.copyOneWay(s, c, dropToServer) })
	pair.Go(func() error { return p.copyOneWay(c, s, dropFromServer) })
	err = pair.Wait()
	p.forget(c)
	p.forget(s)
	return err
}

// targetOf returns the address to which a connection is forwarded.
func (p *proxy) targetOf(c net.Conn) (string, error) {
	if p.target != "" {
		return p.target, nil
	}
	return readTarget(c)
}

// copyOneWay copies one direction until either end closes. It discards data while the proxy is in dropMode, and
// if the connection is silenced.
func (p *proxy) copyOneWay(to, from net.Conn, dropMode proxyMode) error {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for p.holds(from, dropMode) {
			time.Sleep(holdPollInterval)
		}
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

// holds reports whether data that came from an end, in the direction that dropMode discards, is held up.
func (p *proxy) holds(from net.Conn, dropMode proxyMode) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.conns[from]
	return !e.closed &&
		(p.mode == holdBoth || (p.mode == holdFromServer && dropMode == dropFromServer) || p.heldTargets[e.target] > 0)
}

// holdTarget holds up all data of the connections to a target, or ends one such hold.
func (p *proxy) holdTarget(target string, hold bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if hold {
		p.heldTargets[target]++
		return
	}
	p.heldTargets[target]--
}

func (p *proxy) track(c net.Conn, target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = &end{
		target: target,
	}
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
	for _, e := range p.conns {
		e.silenced = e.silenced || chance()
	}
}

// silenceTarget discards for good what is sent on the open connections to a target, in both directions.
func (p *proxy) silenceTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.conns {
		e.silenced = e.silenced || e.target == target
	}
}

func (p *proxy) silenced(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[c].silenced
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
	for c, e := range p.conns {
		e.closed = true
		closeWithReset(c)
	}
}

// resetTarget closes the connections to a target at once, with a TCP reset.
func (p *proxy) resetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, e := range p.conns {
		if e.target == target {
			e.closed = true
			closeWithReset(c)
		}
	}
}

func closeWithReset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// SO_LINGER 0 makes Close send RST; if setting it fails, Close is orderly.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) stop() error {
	_ = p.listener.Close()
	p.reset()
	return p.tasks.Wait()
}
