// Package dialer is the client of the backend servers' protocol: protobuf messages over HTTP/1.1, one exchange at a time
// on a connection. docs/BACKEND-PROTOCOL.md describes it. A change of that protocol affects only this package.
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
	// ContentType is the media type of all request and reply bodies.
	ContentType = "application/x-protobuf"
)

const (
	dialTimeout = 500 * time.Millisecond
	bufferBytes = 4 << 10
)

// DialFunc opens a transport connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer opens connections to backend servers. It implements server.Dialer.
type Dialer struct {
	dial DialFunc
}

// New returns a dialer that opens transport connections with dial, or over TCP if dial is nil.
func New(dial DialFunc) *Dialer {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &Dialer{
		dial: dial,
	}
}

// Dial implements server.Dialer. It fails after half a second.
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
		in:        bufio.NewReaderSize(transport, bufferBytes),
		out:       bufio.NewWriterSize(transport, bufferBytes),
	}, nil
}
