package soak

import (
	"context"
	"net"
	"slices"

	"github.com/pkg/errors"
)

// maxTargetBytes bounds the address that a connection to a proxy states.
const maxTargetBytes = 64

// Network is TCP on which connections to some addresses go through a proxy. It implements magnoliaworks.Network.
type Network struct {
	dialer  net.Dialer
	proxy   string
	proxied []string
}

// NewNetwork returns a network on which the proxied addresses are reached through the proxy.
func NewNetwork(proxy string, proxied []string) *Network {
	return &Network{
		proxy:   proxy,
		proxied: proxied,
	}
}

// Listen implements magnoliaworks.Network.
func (n *Network) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Dial implements magnoliaworks.Network. A connection through the proxy begins with a line that states its address.
func (n *Network) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if !slices.Contains(n.proxied, address) {
		return n.dialer.DialContext(ctx, network, address)
	}
	c, err := n.dialer.DialContext(ctx, network, n.proxy)
	if err != nil {
		return nil, err
	}
	if _, err := c.Write([]byte(address + "\n")); err != nil {
		_ = c.Close()
		return nil, errors.Wrapf(err, "state address %s to the proxy", address)
	}
	return c, nil
}

// readTarget reads the line that Network.Dial writes, and nothing beyond it.
func readTarget(c net.Conn) (string, error) {
	var line []byte
	for next := make([]byte, 1); len(line) < maxTargetBytes; line = append(line, next[0]) {
		if _, err := c.Read(next); err != nil {
			return "", err
		}
		if next[0] == '\n' {
			return string(line), nil
		}
	}
	return "", errors.New("the address is too long")
}
