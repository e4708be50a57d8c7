// Package trace keeps the recent decisions of a host and logs them, so that operators can find out their causes.
package trace

import "time"

// Event is one decision of a host, or one change that it noticed, such as a failing store.
type Event struct {
	At time.Time `json:"at"`
	// Part names the part of the host that recorded the event.
	Part string `json:"part"`
	// Subject names what the event is about, such as a backend server, a request, a configuration scope or a store key.
	Subject string `json:"subject"`
	// What names the decision or the change.
	What string `json:"what"`
	// Cause is the evidence for the decision, or the details of the change.
	Cause string `json:"cause"`
}
