// Package pool keeps this host's connections to backend servers and runs one call at a time on each.
package pool

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/core/query"
)

// ErrNotSent reports that no byte of a message was written, so that the server can't have executed it.
var ErrNotSent = errors.New("no byte of the message was sent")

// Dialer opens connections to backend servers.
type Dialer interface {
	// Dial returns a new connection to the address, or an error that names the address.
	Dial(ctx context.Context, address string) (Conn, error)
}

// Conn is one connection to a backend server. Only one goroutine calls WaitReadable and Receive; Send may run
// concurrently with them.
type Conn interface {
	// Send writes a message for the server of that ID; the write fails at the deadline.
	// It returns an error that wraps ErrNotSent if no byte was written.
	Send(message *query.Message, server string, deadline time.Time) error
	// WaitReadable blocks until bytes have arrived; the error says why none will.
	WaitReadable() error
	// Receive reads one whole reply to message, which was sent for the server of that ID.
	Receive(message *query.Message, server string) (Reply, error)
	// SetReadDeadline makes WaitReadable and Receive fail after the deadline; the zero time removes it.
	SetReadDeadline(deadline time.Time) error
	// Close closes the connection, which makes pending calls on it fail.
	Close() error
}

// Reply is one reply as it was read from a connection.
type Reply struct {
	// Mismatched is set when the reply carries the ID of another message.
	Mismatched bool
	// Close is set when the connection can't be used for another call.
	Close bool
	// IdleTimeout is the time for which the server keeps an idle connection open; 0 if it states none.
	IdleTimeout time.Duration
	Notice      Notice
	Result      query.Result
}
