// Package audit defines the audit trail of the configuration changes that operators made.
package audit

import "time"

// Entry records one accepted change. It is stored in the same update as the change.
type Entry struct {
	ChangeID string `json:"change_id"`
	// Version is the version of the object that contains the change.
	Version  uint64 `json:"version"`
	Operator string `json:"operator"`
	// From names where the command came from, such as its network address.
	From string    `json:"from"`
	At   time.Time `json:"at"`
	// Command is the text of the command; long ones are shortened.
	Command string `json:"command"`
	// Before and After are texts of the changed value.
	Before string `json:"before"`
	After  string `json:"after"`
	Reason string `json:"reason,omitempty"`
}
