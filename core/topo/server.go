package topo

import "time"

// Server is the registration of one backend server.
type Server struct {
	// ID identifies the server; its address may later be used by another server.
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Version is the version of the server's software.
	Version string
	// Slots is the number of requests that the server executes at the same time.
	Slots    int
	Draining bool
	// ColdUntil is the end of the warm-up that the server has announced.
	ColdUntil time.Time
	// Incarnation is the Unix time in milliseconds at which the process started; a restarted server may keep its ID.
	Incarnation int64
}

// Cold reports whether the server is still warming up.
func (s Server) Cold(now time.Time) bool { return now.Before(s.ColdUntil) }
