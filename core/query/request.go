// Package query defines the values of the query path: requests, sub-requests, their results, answers and refusals.
package query

import "time"

// Request is a caller's request.
type Request struct {
	// ID identifies the request in logs and answers; the host that receives the request assigns it.
	ID string
	// Caller is the client account; together with IdempotencyKey it identifies a request that is not idempotent.
	Caller     string
	Collection string
	Kind       string
	Text       string
	// Limit is the largest number of hits in the answer.
	Limit int
	// IdempotencyKey is the caller's key of the request. Kinds that search one shard choose it by this key, if set, or by Text.
	IdempotencyKey string
	// Timeout is the time that the caller waits for the answer, at most the deadline of the kind; 0 selects that deadline.
	Timeout time.Duration
}
