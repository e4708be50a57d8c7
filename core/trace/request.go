package trace

import "time"

// Request is the record of one request with the steps taken for it.
type Request struct {
	ID         string        `json:"id"`
	Collection string        `json:"collection"`
	Kind       string        `json:"kind"`
	At         time.Time     `json:"at"`
	Took       time.Duration `json:"took_ns"`
	Outcome    string        `json:"outcome"`
	// Cause tells why a request was not answered, in words.
	Cause string `json:"cause,omitempty"`
	// Version is the version of the configuration that the request was handled by; 0 where scopes have their own.
	Version uint64 `json:"version,omitempty"`
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
	// Expected is the time in which a reply was expected when a server was chosen; 0 while nothing was known of it.
	Expected time.Duration `json:"expected_ns,omitempty"`
}
