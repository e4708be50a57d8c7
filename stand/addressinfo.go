package stand

import "time"

// addressInfo describes who listens on an address, where, and how long connections to it take to open.
type addressInfo struct {
	owner       string
	dataCentre  string
	connectTime time.Duration
	// server is set for the address of a backend server.
	server bool
}

// connInfo names the data centres and owners that a connection joins.
type connInfo struct {
	from, to           string
	fromOwner, toOwner string
	server             bool
}
