// Package query holds the values that pass between callers and the query path: requests, answers and refusals.
package query

import "time"

// Request is one request of a caller.
type Request struct {
	// ID names the request in logs and answers; a host makes it.
	ID string
	// Caller names who asks; together with IdempotencyKey it identifies a request that may not be repeated.
	Caller     string
	Collection string
	Kind       string
	Text       string
	// Limit is the number of hits wanted.
	Limit int
	// IdempotencyKey is the caller's idempotency key; it is empty for searches.
	IdempotencyKey string
	// Timeout is the time the caller is willing to wait; zero means the kind's own.
	Timeout time.Duration
}
