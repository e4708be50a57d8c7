// Package ledger records requests that may not be repeated in the platform's store before they run.
//
// Entries live in a few partition objects. Each change of a partition is one conditional update,
// whose version check is the fence: of two writers at most one records a request, and only that one sends it.
package ledger

import (
	"time"

	"magnoliaworks/core/query"
)

// Entry is the record of one request.
type Entry struct {
	Caller string `json:"caller"`
	Key    string `json:"key"`
	// ContentHash is a hash of the request's content; a key names one request only.
	ContentHash uint64 `json:"request"`
	// Attempt names the only attempt that may send the request.
	Attempt string    `json:"attempt"`
	Writer  string    `json:"writer"`
	State   State     `json:"state"`
	SentAt  time.Time `json:"at"`
	// Snapshot, Hits and Reason hold the outcome.
	Snapshot uint64      `json:"snapshot,omitempty"`
	Hits     []query.Hit `json:"hits,omitempty"`
	Reason   string      `json:"reason,omitempty"`
}

// State tells how far a request has come.
type State string

// The states. Sent is stored before the request leaves, so an entry in it may have run.
const (
	Sent    State = "sent"
	Done    State = "done"
	Unknown State = "unknown"
	// NotRun entries have not run and never will; a new request with the key may run.
	NotRun State = "not_run"
)

// ID identifies a request among all callers.
func (e Entry) ID() string { return EntryID(e.Caller, e.Key) }

// EntryID joins a caller and its request key.
func EntryID(caller, key string) string { return caller + "\x00" + key }

// WithOutcome returns the entry in a final state.
func (e Entry) WithOutcome(s State, snapshot uint64, hits []query.Hit, reason string) Entry {
	e.State = s
	e.Snapshot = snapshot
	e.Hits = hits
	e.Reason = reason
	return e
}
