package topo

import "time"

// Server is the registration of one backend server.
type Server struct {
	// ID is the identity; an address may be used again by another server.
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	Draining   bool
	// ColdUntil is the time until which the server says that it is cold.
	ColdUntil time.Time
	// Incarnation identifies the start of the process; a server may start again under its old ID.
	Incarnation int64
}

// Cold reports whether the server counts as cold.
func (s Server) Cold(now time.Time) bool { return now.Before(s.ColdUntil) }
