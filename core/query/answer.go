package query

import "time"

// Answer is the whole answer to one request.
type Answer struct {
	ID       string
	Snapshot uint64
	Coverage Coverage
	Hits     []Hit
	Took     time.Duration
}
