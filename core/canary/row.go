package canary

import "time"

const (
	// slowFactor and slowSlack give the time from which a call counts as slow: a multiple of the route's median, and at least this
	// much more than it, which the opening of a connection takes.
	slowFactor = 2.5
	slowSlack  = 10 * time.Millisecond
)

// Row counts the calls of one host within one report by route, data centre of the server, and server.
type Row struct {
	Route      string
	DataCentre string
	// Server is a server of the new version; it is empty for all servers of the old one together.
	Server string
	Calls  int
	// Bad counts the calls that failed, were rejected or were slow.
	Bad int
}

// Slow reports whether a call that took some time was slow for a route with a median, which is 0 while it isn't known.
func Slow(took, median time.Duration) bool {
	return median > 0 && took > max(time.Duration(slowFactor*float64(median)), median+slowSlack)
}
