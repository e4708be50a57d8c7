// Package server keeps the connections, the queue and the concurrency limit of the backend servers that a host is home of.
package server

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/core/query"
)

// ErrReplyTimeout reports that no byte of a reply arrived in time. The connection is intact.
var ErrReplyTimeout = errors.New("no byte of the reply arrived in time")

// Dialer opens connections to backend servers.
type Dialer interface {
	// Dial returns a new connection to the address, or an error that names it.
	Dial(ctx context.Context, address string) (Conn, error)
}

// Conn is one connection to a backend server. One task uses it at a time.
type Conn interface {
	// Send writes a sub-request. After an error part of it may have left.
	Send(sub query.SubRequest) error
	// Await returns the reply to the sub-request sent last, or ErrReplyTimeout when no byte of it arrived by until.
	// After ErrReplyTimeout it may be called again; after any other error the connection is of no use.
	Await(sub query.SubRequest, until time.Time) (Reply, error)
	Prober
	// Close ends the connection.
	Close() error
}

// Prober asks a backend server what it does.
type Prober interface {
	// Probe tells whether the server has a request in progress and ends that request if cancel is set.
	Probe(requestID string, attempt uint32, cancel bool, until time.Time) (ProbeReply, error)
}

// Reply is a backend server's reply to a sub-request.
type Reply struct {
	Snapshot uint64
	Outcome  Outcome
	Hits     []query.Hit
	Status   Status
	Detail   string
}

// ProbeReply is a backend server's reply to a probe.
type ProbeReply struct {
	InProgress bool
	Status     Status
}

// Status is what a backend server says about itself. Load figures may be late or wrong.
type Status struct {
	// StartID changes at each start of the server process.
	StartID        uint64
	Draining       bool
	InProgress     int
	Slots          int
	OldestSnapshot uint64
	NewestSnapshot uint64
}

// Outcome tells how a backend server ended a sub-request.
type Outcome int

// The outcomes.
const (
	Done Outcome = iota + 1
	// CutShort means that only part of the shard was searched.
	CutShort
	SnapshotAbsent
	// Shed and Draining mean that the server refused before any work.
	Shed
	Draining
	Cancelled
	Failed
)
