package trace

import "time"

// Request is the record of one request with its steps.
type Request struct {
	ID         string `json:"id"`
	Collection string `json:"collection"`
	Kind       string `json:"kind"`
	// At is the time of arrival.
	At      time.Time     `json:"at"`
	Took    time.Duration `json:"took_ns"`
	Outcome string        `json:"outcome"`
	// Cause states why the request was not answered.
	Cause string `json:"cause,omitempty"`
	// Version is the version of the whole configuration under which the request was handled.
	// It is 0 if the configuration has a version for each scope only.
	Version uint64 `json:"version,omitempty"`
	// Account is the client account of the request; empty if the configuration names none.
	Account string `json:"account,omitempty"`
	Steps   []Step `json:"steps"`
}

// Step is one decision within a request.
type Step struct {
	// After is the time since the arrival of the request.
	After  time.Duration `json:"after_ns"`
	What   string        `json:"what"`
	Shard  string        `json:"shard,omitempty"`
	Server string        `json:"server,omitempty"`
	Detail string        `json:"detail,omitempty"`
	// Expected is the expected time to the reply when the server was chosen; 0 when nothing was known of the server.
	Expected time.Duration `json:"expected_ns,omitempty"`
}
