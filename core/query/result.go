package query

import "time"

// Result is the result of a sub-request or of a message's call to a backend server.
// Its cases are Done, SnapshotAbsent, NotExecuted and Failed.
type Result interface {
	result()
}

// Done is the result of a successful execution.
type Done struct {
	// Snapshot is the version of the snapshot that the backend server searched.
	Snapshot uint64
	// Complete is false when the server stopped before the end of the shard.
	Complete bool
	Hits     []Hit
	// Reply is the reply to a Message; it is nil for a SubRequest.
	Reply    *Reply
	Feedback Feedback
}

// SnapshotAbsent means that the backend server does not hold the requested snapshot and executed nothing.
type SnapshotAbsent struct {
	Feedback Feedback
}

// NotExecuted means that the call was not executed and will not be.
type NotExecuted struct {
	Cause    Cause
	Reason   string
	Feedback Feedback
}

// Cause is the cause of NotExecuted. It decides whether a retry draws on the retry budget: a retry after a
// rejection for load does, since it adds load elsewhere; a retry after Unavailable does not.
type Cause int

// The causes of NotExecuted.
const (
	// Unavailable means that the server or its home is down, draining or out of service, or that this host could not
	// send the call, for example after the loss of the connection.
	Unavailable Cause = iota
	// Busy means that the server or its queue is full, or that the deadline passes before the server can execute the call.
	Busy
	// WrongServer means that another server uses the address.
	WrongServer
)

// Failed means that the call may have been executed and has no successful result. Without a Reply its outcome is not known.
type Failed struct {
	Reason string
	// Reply is the server's signed error reply to a Message; it is nil if there was none that may be passed on.
	Reply *Reply
}

// Feedback is the state of a backend server that accompanies a result.
type Feedback struct {
	// OldestSnapshot and NewestSnapshot are the range of snapshots that the server holds; both are 0 when unknown.
	OldestSnapshot uint64
	NewestSnapshot uint64
	// QueueWait is the expected time in the queue that the home host keeps for the server.
	QueueWait time.Duration
	// ServiceTime is the duration of the exchange between the home host and the server.
	ServiceTime time.Duration
	// Load is the load that the server reported in its reply to a Message.
	Load Load
}

// Load is the load of a backend server from all hosts together, in requests, as the server reports it.
// It only serves to estimate the load from other hosts.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is the factor by which work takes longer than usual on the server at this moment; 0 if it is not stated.
	Slowdown float64
}

func (Done) result()           {}
func (SnapshotAbsent) result() {}
func (NotExecuted) result()    {}
func (Failed) result()         {}
