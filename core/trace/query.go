package trace

import "time"

// Query is the record of one request with the steps taken for it.
type Query struct {
	ID         string        `json:"id"`
	Collection string        `json:"collection"`
	Kind       string        `json:"kind"`
	At         time.Time     `json:"at"`
	Took       time.Duration `json:"took_ns"`
	Outcome    string        `json:"outcome"`
	Steps      []Step        `json:"steps"`
}

// Step is one decision within a request.
type Step struct {
	// After is the time since the arrival of the request.
	After  time.Duration `json:"after_ns"`
	What   string        `json:"what"`
	Shard  string        `json:"shard,omitempty"`
	Server string        `json:"server,omitempty"`
	Detail string        `json:"detail,omitempty"`
}
