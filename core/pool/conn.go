// Package pool keeps this host's connections to backend servers and runs one exchange at a time on each.
package pool

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/core/query"
)

// ErrNotSent reports that no byte of a message has left this host.
var ErrNotSent = errors.New("nothing was sent")

// Dialer opens connections to backend servers.
type Dialer interface {
	// Dial returns a new connection to the address, or an error that names it.
	Dial(ctx context.Context, address string) (Conn, error)
}

// Conn is one connection to a backend server. Send may run beside WaitReadable and Receive, which one task calls.
type Conn interface {
	// Send writes a message for one server and returns ErrNotSent when nothing of it has left.
	Send(message *query.Message, server string, until time.Time) error
	// WaitReadable returns nil when bytes have arrived, or why none will.
	WaitReadable() error
	// Receive reads one whole reply.
	Receive(message *query.Message) (Reply, error)
	// SetReadDeadline makes WaitReadable and Receive fail after the given time; the zero time lets them wait on.
	SetReadDeadline(at time.Time) error
	// Close ends the connection.
	Close() error
}

// Reply is what arrived on a connection.
type Reply struct {
	// Mismatched is set when the reply belongs to another message.
	Mismatched bool
	// Close is set when the connection can carry nothing more.
	Close bool
	// IdleTimeout is the time for which the server keeps the connection idle; 0 when it does not say.
	IdleTimeout time.Duration
	Result      query.Result
}
