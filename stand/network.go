// Package stand holds small stand-ins for what surrounds the hosts: network, store, list of hosts and backend servers.
// They keep a record of what they really did, with which the load tool compares what callers were told.
package stand

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/plan"
	"magnoliaworks/core/timer"
)

// Network joins the parts of an experiment. It knows where each address stands and delays what crosses data centres.
type Network struct {
	delay       time.Duration
	callerDelay time.Duration
	// memory is set when connections do not use TCP; virtual time needs that.
	memory bool
	tasks  errgroup.Group

	mu        sync.Mutex
	places    map[string]place
	listeners map[string]*listener
	conns     map[*pipe]connPlace
	cut       map[[2]string]bool
	nextPort  int

	// The rest counts bytes in memory networks.
	betweenHosts atomic.Int64
	toStore      atomic.Int64
	toServers    atomic.Int64
}

// Callers is the side of the network on which callers stand.
const Callers = "callers"

// NewTCP returns a network over loopback TCP with the given one-way delays.
func NewTCP(delays plan.Delays) *Network { return newNetwork(delays, false) }

// NewMemory returns a network without TCP, in which all faults work, also in virtual time.
func NewMemory(delays plan.Delays) *Network { return newNetwork(delays, true) }

func newNetwork(delays plan.Delays, memory bool) *Network {
	return &Network{
		delay:       delays.BetweenDataCentres,
		callerDelay: delays.ToCallers,
		memory:      memory,
		places:      make(map[string]place),
		listeners:   make(map[string]*listener),
		conns:       make(map[*pipe]connPlace),
		cut:         make(map[[2]string]bool),
		nextPort:    20000,
	}
}

// Address returns a free address of an owner in a data centre.
func (n *Network) Address(dataCentre, owner string) (string, error) {
	return n.address(place{
		owner:      owner,
		dataCentre: dataCentre,
	})
}

// ServerAddress returns a free address for a backend server whose connections take a while to open.
func (n *Network) ServerAddress(dataCentre string, connectTime time.Duration) (string, error) {
	return n.address(place{
		dataCentre:  dataCentre,
		connectTime: connectTime,
		server:      true,
	})
}

func (n *Network) address(p place) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nextPort++
	address := fmt.Sprintf("127.0.0.1:%d", n.nextPort)
	if !n.memory {
		var err error
		if address, err = FreeAddress(); err != nil {
			return "", err
		}
	}
	n.places[address] = p
	return address, nil
}

// Endpoint returns the network as an owner in a data centre sees it.
func (n *Network) Endpoint(dataCentre, owner string) *Endpoint {
	return &Endpoint{
		network:    n,
		dataCentre: dataCentre,
		owner:      owner,
	}
}

// Hold keeps back all traffic of an owner, as if its process were paused, or lets it go on.
func (n *Network) Hold(owner string, hold bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p, c := range n.conns {
		if c.fromOwner == owner || c.toOwner == owner {
			p.hold(hold)
		}
	}
}

// Cut keeps back all traffic between two data centres, or lets it go on, as TCP does when a link is back.
func (n *Network) Cut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}] = cut
	n.cut[[2]string{b, a}] = cut
	for p, c := range n.conns {
		if (c.from == a && c.to == b) || (c.from == b && c.to == a) {
			p.hold(cut)
		}
	}
}

// SilenceServers makes the open connections to backend servers go silent, each with the given chance.
func (n *Network) SilenceServers(chance func() bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p, c := range n.conns {
		if c.server && chance() {
			p.silence(true)
		}
	}
}

// Wait returns when all connections have ended.
func (n *Network) Wait() { _ = n.tasks.Wait() }

func (n *Network) dial(ctx context.Context, from *Endpoint, address string) (net.Conn, error) {
	n.mu.Lock()
	to := n.places[address]
	cut := n.cut[[2]string{from.dataCentre, to.dataCentre}]
	n.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, errors.Wrapf(ctx.Err(), "dial %s", address)
	}
	delay := n.delayBetween(from.dataCentre, to.dataCentre)
	if err := timer.Sleep(ctx, to.connectTime+2*delay); err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	if n.memory {
		return n.dialMemory(from, address, to, delay)
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil || (delay == 0 && !to.server) {
		return conn, err
	}
	client, server := newPipe("side", address, delay)
	n.track(client, from, to)
	n.tasks.Go(func() error { return pump(server, conn) })
	n.tasks.Go(func() error { return pump(conn, server) })
	return client, nil
}

func (n *Network) delayBetween(a, b string) time.Duration {
	switch {
	case a == Callers:
		return n.callerDelay
	case a == b || a == "" || b == "":
		return 0
	default:
		return n.delay
	}
}

func (n *Network) dialMemory(from *Endpoint, address string, to place, delay time.Duration) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	client, server := newPipe("127.0.0.1:1", address, delay)
	client.owner, server.owner = from.owner, from.owner
	client.sent = n.counter(from, to)
	server.sent = client.sent
	if l == nil || !l.offer(server) {
		return nil, &net.OpError{
			Op:  "dial",
			Net: "tcp",
			Err: errors.Errorf("connection to %s refused", address),
		}
	}
	n.track(client, from, to)
	return client, nil
}

func (n *Network) track(p *pipe, from *Endpoint, to place) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[p] = connPlace{
		from:      from.dataCentre,
		to:        to.dataCentre,
		fromOwner: from.owner,
		toOwner:   to.owner,
		server:    to.server,
	}
	p.ended = func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.conns, p)
	}
}

// pump copies until one side ends and then ends both.
func pump(to, from net.Conn) error {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
	return nil
}
