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

// betweenHosts reports whether the connection joins two hosts. Callers and the store have no data centre of their own, and backend
// servers are no owners.
func (c connInfo) betweenHosts() bool {
	return c.from != "" && c.from != Callers && c.to != "" && !c.server && c.fromOwner != "" && c.toOwner != ""
}
