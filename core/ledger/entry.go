// Package ledger records non-idempotent requests in the platform's store before they are sent,
// so that no request is sent by more than one attempt.
//
// Entries are stored in a few partition objects. Each change of a partition is one conditional update.
// Its version check fences concurrent writers: at most one of them records a request, and only that one sends it.
package ledger

import (
	"time"

	"magnoliaworks/core/query"
)

// Entry is the record of one request and its outcome.
type Entry struct {
	Caller string `json:"caller"`
	// IdempotencyKey is chosen by the caller and identifies the request among those of the caller.
	IdempotencyKey string `json:"key"`
	// ContentHash is a hash of the request's content. It detects a key that is reused for a different request.
	ContentHash uint64 `json:"request"`
	// Attempt is the ID of the only attempt that may send the request.
	Attempt string `json:"attempt"`
	// Writer is the ID of the host that recorded the entry.
	Writer string `json:"writer"`
	State  State  `json:"state"`
	// SentAt is the time, in UTC, at which the entry was recorded as Sent.
	SentAt time.Time `json:"at"`
	// Snapshot, Hits and Reason describe the outcome.
	Snapshot uint64      `json:"snapshot,omitempty"`
	Hits     []query.Hit `json:"hits,omitempty"`
	Reason   string      `json:"reason,omitempty"`
}

// State is the progress of a request as recorded.
type State string

// The states of an entry. Sent is stored before the request is sent, so a Sent request may have run.
// Done, Unknown and NotRun are final. An Unknown request may have run.
const (
	Sent    State = "sent"
	Done    State = "done"
	Unknown State = "unknown"
	// NotRun requests have not run and will not run; a new attempt with the same key may run.
	NotRun State = "not_run"
)

// ID identifies the entry among those of all callers, as EntryID does.
func (e Entry) ID() string { return EntryID(e.Caller, e.IdempotencyKey) }

// EntryID returns the ID of the entry for a caller and its idempotency key.
func EntryID(caller, key string) string { return caller + "\x00" + key }

// WithOutcome returns the entry with a final state and the given outcome.
func (e Entry) WithOutcome(s State, snapshot uint64, hits []query.Hit, reason string) Entry {
	e.State = s
	e.Snapshot = snapshot
	e.Hits = hits
	e.Reason = reason
	return e
}
