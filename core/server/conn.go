// Package server manages the connections, the queue and the concurrency limit of the backend servers whose home is this host.
package server

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/core/query"
)

// ErrReplyTimeout reports that no byte of a reply arrived in time. The connection is still usable.
var ErrReplyTimeout = errors.New("no byte of the reply arrived in time")

// Dialer opens connections to backend servers.
type Dialer interface {
	// Dial returns a new connection to the address, or an error that names it.
	Dial(ctx context.Context, address string) (Conn, error)
}

// Conn is one connection to a backend server. One goroutine at a time may use it.
type Conn interface {
	// Send writes a sub-request. After an error part of it may have been sent.
	Send(sub query.SubRequest) error
	// Await returns the reply to the sub-request sent last, or ErrReplyTimeout when no byte of it arrives by the deadline.
	// After ErrReplyTimeout it may be called again; after any other error the connection is unusable.
	Await(sub query.SubRequest, deadline time.Time) (Reply, error)
	Prober
	// Close ends the connection.
	Close() error
}

// Prober asks a backend server for its status.
type Prober interface {
	// Probe returns the server's status and whether it has the request in progress. It ends that request if cancel is set.
	Probe(requestID string, attempt uint32, cancel bool, deadline time.Time) (ProbeReply, error)
}

// Reply is a backend server's reply to a sub-request.
type Reply struct {
	Snapshot uint64
	Outcome  Outcome
	Hits     []query.Hit
	Status   Status
	// Detail explains the outcomes Cancelled and Failed.
	Detail string
}

// ProbeReply is a backend server's reply to a probe.
type ProbeReply struct {
	// InProgress is set if the server has the probed request in progress.
	InProgress bool
	Status     Status
}

// Status is what a backend server reports about itself. Load figures may be late or wrong.
type Status struct {
	// StartID changes at each start of the server process.
	StartID  uint64
	Draining bool
	// InProgress is the number of requests that the server has in progress.
	InProgress int
	// Slots is the number of requests that the server runs at a time.
	Slots int
	// OldestSnapshot and NewestSnapshot bound the snapshots that the server holds.
	OldestSnapshot uint64
	NewestSnapshot uint64
}

// Outcome is how a backend server ended a sub-request.
type Outcome int

// The outcomes.
const (
	// Done means that the whole shard was searched.
	Done Outcome = iota + 1
	// CutShort means that only part of the shard was searched.
	CutShort
	// SnapshotAbsent means that the server does not hold the snapshot.
	SnapshotAbsent
	// Shed and Draining mean that the server refused before any work, because it is full or shutting down.
	Shed
	Draining
	// Cancelled means that a probe ended the sub-request.
	Cancelled
	// Failed means that the server reported an error.
	Failed
)
