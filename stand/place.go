package stand

import "time"

// place tells who listens on an address and where.
type place struct {
	owner       string
	dataCentre  string
	connectTime time.Duration
	server      bool
}

// connPlace tells which data centres and owners a connection joins.
type connPlace struct {
	from, to           string
	fromOwner, toOwner string
	server             bool
}
