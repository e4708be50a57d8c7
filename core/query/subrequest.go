package query

import "time"

// SubRequest is the part of a request that one backend server runs on one shard.
type SubRequest struct {
	RequestID  string
	Attempt    uint32
	Server     string
	Shard      string
	Snapshot   uint64
	Collection string
	Kind       string
	Text       string
	Limit      int
	Priority   int
	// IdempotencyKey is set when the sub-request may not be repeated.
	IdempotencyKey string
	// Deadline is the moment after which no result is wanted.
	Deadline time.Time
}

// Idempotent reports whether a second run does no harm.
func (s SubRequest) Idempotent() bool { return s.IdempotencyKey == "" }
