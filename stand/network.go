// Package stand provides fakes of what surrounds the hosts: network, object store, host list and backend servers.
// The fake servers log every sub-request that they execute; the load tool compares this log with the answers that callers received.
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

	"magnoliaworks/core/deploy"
	"magnoliaworks/core/timer"
)

// Network connects hosts, callers, backend servers and the store.
// It knows the data centre of each address and delays traffic between data centres and to callers.
type Network struct {
	delay       time.Duration
	callerDelay time.Duration
	// memory is set when connections are in-process pipes instead of TCP, as tests in virtual time require.
	memory bool
	tasks  errgroup.Group

	mu        sync.Mutex
	addresses map[string]addressInfo
	listeners map[string]*listener
	conns     map[*pipe]connInfo
	cut       map[[2]string]bool
	// isolated holds the owners that don't reach other hosts.
	isolated map[string]bool
	nextPort int

	// Bytes written over in-process connections, by peer.
	betweenHosts atomic.Int64
	toStore      atomic.Int64
	toServers    atomic.Int64
}

// Callers is the data centre and the owner of the endpoint of callers.
const Callers = "callers"

// NewTCP returns a network over loopback TCP with the given one-way delays.
func NewTCP(delays deploy.Delays) *Network { return newNetwork(delays, false) }

// NewMemory returns a network of in-process connections, on which all faults work, also in virtual time.
func NewMemory(delays deploy.Delays) *Network { return newNetwork(delays, true) }

func newNetwork(delays deploy.Delays, memory bool) *Network {
	return &Network{
		delay:       delays.BetweenDataCentres,
		callerDelay: delays.ToCallers,
		memory:      memory,
		addresses:   make(map[string]addressInfo),
		listeners:   make(map[string]*listener),
		conns:       make(map[*pipe]connInfo),
		cut:         make(map[[2]string]bool),
		isolated:    make(map[string]bool),
		nextPort:    20000,
	}
}

// Address allocates a free address for an owner in a data centre.
func (n *Network) Address(dataCentre, owner string) (string, error) {
	return n.address(addressInfo{
		owner:      owner,
		dataCentre: dataCentre,
	})
}

// ServerAddress allocates a free address for a backend server; each connection to it takes connectTime longer to open.
func (n *Network) ServerAddress(dataCentre string, connectTime time.Duration) (string, error) {
	return n.address(addressInfo{
		dataCentre:  dataCentre,
		connectTime: connectTime,
		server:      true,
	})
}

func (n *Network) address(info addressInfo) (string, error) {
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
	n.addresses[address] = info
	return address, nil
}

// Endpoint returns the network as an owner in a data centre uses it.
func (n *Network) Endpoint(dataCentre, owner string) *Endpoint {
	return &Endpoint{
		network:    n,
		dataCentre: dataCentre,
		owner:      owner,
	}
}

// Hold stops or resumes delivery on all open connections of an owner, as if its process were paused.
func (n *Network) Hold(owner string, hold bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p, c := range n.conns {
		if c.fromOwner == owner || c.toOwner == owner {
			p.hold(hold)
		}
	}
}

// HoldBetween stops or resumes delivery on all open connections that one owner has opened to another.
func (n *Network) HoldBetween(from, to string, hold bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p, c := range n.conns {
		if c.fromOwner == from && c.toOwner == to {
			p.hold(hold)
		}
	}
}

// Cut starts or ends a partition between two data centres. During the partition dials block until their context ends
// and open connections deliver nothing; what was written is delivered afterwards, as TCP does when a link recovers.
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

// Isolate starts or ends a partition between a host and all others, as Cut does between data centres. Callers, servers and the store
// still reach the host.
func (n *Network) Isolate(host string, isolate bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[host] = isolate
	for p, c := range n.conns {
		if c.betweenHosts() && (c.fromOwner == host || c.toOwner == host) {
			p.hold(isolate)
		}
	}
}

// SilenceServers makes each open connection to a backend server for which chance returns true
// discard all further data without closing.
func (n *Network) SilenceServers(chance func() bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p, c := range n.conns {
		if c.server && chance() {
			p.silence(true)
		}
	}
}

// Wait blocks until all background tasks have ended: servers, the store and the forwarding of TCP connections.
func (n *Network) Wait() { _ = n.tasks.Wait() }

// dial opens a connection after one round trip and the server's connect time. Connections are made of pipes, on which
// delays and faults work, except for TCP connections without delay to others than backend servers.
func (n *Network) dial(ctx context.Context, from *Endpoint, address string) (net.Conn, error) {
	n.mu.Lock()
	to := n.addresses[address]
	info := connInfo{
		from:      from.dataCentre,
		to:        to.dataCentre,
		fromOwner: from.owner,
		toOwner:   to.owner,
		server:    to.server,
	}
	cut := n.cut[[2]string{info.from, info.to}] || (info.betweenHosts() && (n.isolated[info.fromOwner] || n.isolated[info.toOwner]))
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

// delayBetween returns the one-way delay between two data centres; what has no data centre has none.
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

func (n *Network) dialMemory(from *Endpoint, address string, to addressInfo, delay time.Duration) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	client, server := newPipe("127.0.0.1:1", address, delay)
	client.owner, server.owner = from.owner, from.owner
	client.byteCount = n.byteCounter(from, to)
	server.byteCount = client.byteCount
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

// track registers a connection, so that faults can be injected into it, until it is closed.
func (n *Network) track(p *pipe, from *Endpoint, to addressInfo) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[p] = connInfo{
		from:      from.dataCentre,
		to:        to.dataCentre,
		fromOwner: from.owner,
		toOwner:   to.owner,
		server:    to.server,
	}
	p.onClose = func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.conns, p)
	}
}

// pump copies from one connection to another until either fails or ends, and then closes both.
func pump(to, from net.Conn) error {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
	return nil
}
