// Package trace keeps the recent decisions of a host and logs them, so that operators can find out their causes.
package trace

import "time"

// Event is one decision that changed the behaviour of a host.
type Event struct {
	At time.Time `json:"at"`
	// Part names the part of the host that decided.
	Part string `json:"part"`
	// Subject names the backend server, host, data centre or change concerned.
	Subject string `json:"subject"`
	// What names the decision.
	What string `json:"what"`
	// Cause is the evidence for the decision.
	Cause string `json:"cause"`
}
