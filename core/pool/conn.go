// Package pool keeps this host's connections to backend servers and runs one exchange at a time on each.
package pool

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/core/query"
)

// ErrUnsent reports that no byte of a message has left this host.
var ErrUnsent = errors.New("nothing was sent")

// Dialer opens connections to backend servers.
type Dialer interface {
	// Dial returns a new connection to the address, or an error that names it.
	Dial(ctx context.Context, address string) (Conn, error)
}

// Conn is one connection to a backend server. Send may run beside Wait and Receive, which one task calls.
type Conn interface {
	// Send writes a message for one server and returns ErrUnsent when nothing of it has left.
	Send(message *query.Message, server string, until time.Time) error
	// Wait returns nil when bytes have arrived, or why none will.
	Wait() error
	// Receive reads one whole reply.
	Receive(message *query.Message) (Reply, error)
	// Expire makes Wait and Receive fail after the given time; the zero time lets them wait on.
	Expire(at time.Time) error
	// Close ends the connection.
	Close() error
}

// Reply is what arrived on a connection.
type Reply struct {
	// Foreign is set when the reply belongs to another message.
	Foreign bool
	// Last is set when the connection can carry nothing more.
	Last bool
	// IdleLimit is the time for which the server keeps the connection idle; 0 when it does not say.
	IdleLimit time.Duration
	Result    query.Result
}
