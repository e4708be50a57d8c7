package main

import (
	"io"
	"net"
	"sync"

	"magnoliaworks/stand"
)

// proxy stands between hosts and the store. While it is cut it passes nothing on, and the connections of that time stay silent: their
// packets are sent again later than the host waits for them.
type proxy struct {
	target string
	mu     sync.Mutex
	cut    bool
	// cuts counts the beginnings and ends of cuts, by which a connection knows that it has been through one.
	cuts int
}

// newProxy starts a proxy and returns its address.
func newProxy(r *rig, target string) (*proxy, string, error) {
	address, err := stand.FreeAddress()
	if err != nil {
		return nil, "", err
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, "", err
	}
	p := &proxy{
		target: target,
	}
	r.tasks.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			r.tasks.Go(func() error {
				p.serve(r, c)
				return nil
			})
		}
	})
	return p, address, nil
}

// set begins or ends a cut.
func (p *proxy) set(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut != cut {
		p.cut = cut
		p.cuts++
	}
}

// passes reports whether bytes of a connection that was opened at a number of cuts are passed on.
func (p *proxy) passes(openedAt int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.cut && p.cuts == openedAt
}

func (p *proxy) serve(r *rig, c net.Conn) {
	p.mu.Lock()
	opened, cut := p.cuts, p.cut
	p.mu.Unlock()
	if cut {
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
		return
	}
	store, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	r.tasks.Go(func() error {
		p.pump(store, c, opened)
		return nil
	})
	p.pump(c, store, opened)
}

// pump passes bytes on until one side closes. The end of a connection that has been through a cut isn't passed on either.
func (p *proxy) pump(to, from net.Conn, opened int) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.passes(opened) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			_ = from.Close()
			if p.passes(opened) {
				_ = to.Close()
			}
			return
		}
	}
}
