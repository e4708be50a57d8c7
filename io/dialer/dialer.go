// Package dialer speaks the backend servers' protocol: protobuf messages over HTTP/1.1, one exchange at a time on a connection.
// docs/BACKEND-PROTOCOL.md describes it. Another format of the backend servers changes this package alone.
package dialer

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/core/server"
)

// Paths of the protocol.
const (
	SearchPath = "/search"
	ProbePath  = "/probe"
	// ContentType is the type of all bodies.
	ContentType = "application/x-protobuf"
)

const (
	dialTimeout = 500 * time.Millisecond
	bufferSize  = 4 << 10
)

// DialFunc opens a transport connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer opens connections to backend servers. It implements server.Dialer.
type Dialer struct {
	dial DialFunc
}

// New returns a dialer that opens transport connections by dial; nil means TCP.
func New(dial DialFunc) *Dialer {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &Dialer{
		dial: dial,
	}
}

// Dial implements server.Dialer.
func (d *Dialer) Dial(ctx context.Context, address string) (server.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	transport, err := d.dial(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial backend server %s", address)
	}
	return &conn{
		transport: transport,
		address:   address,
		in:        bufio.NewReaderSize(transport, bufferSize),
		out:       bufio.NewWriterSize(transport, bufferSize),
	}, nil
}
