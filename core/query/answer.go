package query

import "time"

// Answer is the answer to one request: the merged hits of one snapshot and the share of its shards that they come from.
type Answer struct {
	// ID is the identifier of the request.
	ID string
	// Snapshot is the version of the snapshot that was searched.
	Snapshot uint64
	Coverage Coverage
	// Hits are ordered as by Merge.
	Hits []Hit
	// Took is the time from the start of the request on this host to its answer.
	Took time.Duration
}
