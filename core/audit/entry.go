// Package audit describes the trail of changes that operators made.
package audit

import "time"

// Entry records one accepted change. It is stored in the same update as the change.
type Entry struct {
	ChangeID string    `json:"change_id"`
	Version  uint64    `json:"version"`
	Operator string    `json:"operator"`
	From     string    `json:"from"`
	At       time.Time `json:"at"`
	Command  string    `json:"command"`
	Before   string    `json:"before"`
	After    string    `json:"after"`
	Reason   string    `json:"reason,omitempty"`
}
