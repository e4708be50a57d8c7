package stand

import (
	"context"
	"net"
)

// Endpoint is the network as seen from one data centre. It implements magnoliaworks.Network.
type Endpoint struct {
	network    *Network
	dataCentre string
	owner      string
}

// Listen implements magnoliaworks.Network.
func (s *Endpoint) Listen(address string) (net.Listener, error) {
	if !s.network.memory {
		return net.Listen("tcp", address)
	}
	l := newListener(address)
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	s.network.listeners[address] = l
	return l, nil
}

// Dial implements magnoliaworks.Network.
func (s *Endpoint) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	return s.network.dial(ctx, s, address)
}
