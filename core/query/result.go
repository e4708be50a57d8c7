package query

import "time"

// Result is the outcome of a sub-request. Its cases are Done, SnapshotAbsent, NotExecuted and Failed.
type Result interface {
	result()
}

// Done is the result of a shard that was searched.
type Done struct {
	// Snapshot is the one the backend server really used.
	Snapshot uint64
	// Complete is false when the server stopped before the end of the shard.
	Complete bool
	Hits     []Hit
	// Reply is the reply to an opaque message; it is nil for searches of the project's own format.
	Reply    *Reply
	Feedback Feedback
}

// SnapshotAbsent tells that the backend server does not hold the wanted snapshot; nothing ran.
type SnapshotAbsent struct {
	Feedback Feedback
}

// NotExecuted tells that the sub-request has not run and will not run.
type NotExecuted struct {
	Cause    Cause
	Reason   string
	Feedback Feedback
}

// Cause tells whether a refusal is due to load, so that a retry elsewhere adds to it.
type Cause int

// The causes of a refusal.
const (
	// Unavailable means that the server or its home is down, leaving or out of service.
	Unavailable Cause = iota
	// Busy means that the server or its queue is full.
	Busy
	// WrongServer means that another server has the address.
	WrongServer
)

// Failed tells that the sub-request may have run and that its outcome is not known.
type Failed struct {
	Reason string
	// Reply is the failure that the backend server replied with; it is nil when there was no whole reply.
	Reply *Reply
}

// Feedback is what a home host reports of a backend server beside a result.
type Feedback struct {
	// OldestSnapshot and NewestSnapshot bound what the server holds; both are 0 when unknown.
	OldestSnapshot uint64
	NewestSnapshot uint64
	// QueueWait is the expected time in the server's queue.
	QueueWait time.Duration
	// ServiceTime is the time the exchange took.
	ServiceTime time.Duration
	// Load is what the server said of its load.
	Load Load
}

// Load is what a backend server says of its load, for all its callers together. It hints at others' use only.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

func (Done) result()           {}
func (SnapshotAbsent) result() {}
func (NotExecuted) result()    {}
func (Failed) result()         {}
