package query

import "time"

// Result is the outcome of a sub-request. Its cases are Done, Absent, Unsent and Failed.
type Result interface {
	result()
}

// Done is the result of a shard that was searched.
type Done struct {
	// Snapshot is the one the backend server really used.
	Snapshot uint64
	// Whole is false when the server stopped before the end of the shard.
	Whole bool
	Hits  []Hit
	Hint  Hint
}

// Absent tells that the backend server does not hold the wanted snapshot; nothing ran.
type Absent struct {
	Hint Hint
}

// Unsent tells that the sub-request has not run and will not run.
type Unsent struct {
	Cause  Cause
	Reason string
	Hint   Hint
}

// Cause tells whether a refusal is due to load, so that a retry elsewhere adds to it.
type Cause int

// The causes of a refusal.
const (
	// Unavailable means that the server or its home is down, leaving or out of service.
	Unavailable Cause = iota
	// Busy means that the server or its queue is full.
	Busy
)

// Failed tells that the sub-request may have run and that its outcome is not known.
type Failed struct {
	Reason string
}

// Hint is what a home host reports of a backend server beside a result.
type Hint struct {
	// OldestSnapshot and NewestSnapshot bound what the server holds; both are 0 when unknown.
	OldestSnapshot uint64
	NewestSnapshot uint64
	// Wait is the expected time in the server's queue.
	Wait time.Duration
	// Service is the time the exchange took.
	Service time.Duration
}

func (Done) result()   {}
func (Absent) result() {}
func (Unsent) result() {}
func (Failed) result() {}
