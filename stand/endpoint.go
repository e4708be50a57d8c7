package stand

import (
	"context"
	"net"
)

// Endpoint is the network as one owner in a data centre uses it. It implements magnoliaworks.Network.
type Endpoint struct {
	network    *Network
	dataCentre string
	owner      string
}

// Listen implements magnoliaworks.Network.
func (e *Endpoint) Listen(address string) (net.Listener, error) {
	if !e.network.memory {
		return net.Listen("tcp", address)
	}
	l := newListener(address)
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	e.network.listeners[address] = l
	return l, nil
}

// Dial implements magnoliaworks.Network.
func (e *Endpoint) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	return e.network.dial(ctx, e, address)
}
