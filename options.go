package magnoliaworks

import (
	"context"
	"net"

	"github.com/hashicorp/go-hclog"

	"magnoliaworks/core/setup"
)

// Network opens the listeners and connections of a host.
type Network interface {
	// Listen returns a listener on the address.
	Listen(address string) (net.Listener, error)
	// Dial returns a connection to the address.
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

// Option sets one option of a Host.
type Option func(*options)

type options struct {
	settings setup.Settings
	network  Network
	log      hclog.Logger
}

// WithSettings sets the settings; the default is setup.Default, which has no addresses and is only a base for others.
func WithSettings(s setup.Settings) Option {
	return func(o *options) { o.settings = s }
}

// WithNetwork sets the network; the default is TCP of the operating system.
func WithNetwork(n Network) Option {
	return func(o *options) { o.network = n }
}

// WithLogger sets the logger; the default discards everything.
func WithLogger(log hclog.Logger) Option {
	return func(o *options) { o.log = log }
}

// tcpNetwork is the default Network.
type tcpNetwork struct {
	dialer net.Dialer
}

// Listen implements Network.
func (t *tcpNetwork) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Dial implements Network.
func (t *tcpNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return t.dialer.DialContext(ctx, network, address)
}
