package query

import "time"

// SubRequest is the part of a request that one backend server executes on one shard.
type SubRequest struct {
	RequestID string
	// Attempt numbers the sub-requests of a request, over all its shards.
	Attempt    uint32
	Server     string
	Shard      string
	Snapshot   uint64
	Collection string
	Kind       string
	Text       string
	Limit      int
	// Priority is the urgency under overload, from 0 to 9, the most urgent.
	Priority int
	// IdempotencyKey is set if the sub-request is not idempotent; it then holds the caller and its key.
	IdempotencyKey string
	// Deadline is the time after which the result is not used any more.
	Deadline time.Time
}

// Idempotent reports whether the sub-request may be executed more than once.
func (s SubRequest) Idempotent() bool { return s.IdempotencyKey == "" }
