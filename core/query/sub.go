package query

import "time"

// Sub is the part of a request that one backend server runs on one shard.
type Sub struct {
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
	// Key is set when the sub-request may not be repeated.
	Key string
	// Until is the moment after which no result is wanted.
	Until time.Time
}

// Repeatable reports whether a second run does no harm.
func (s Sub) Repeatable() bool { return s.Key == "" }
