package site

import (
	"net"
	"strconv"
	"time"

	"magnoliaworks/stand"
)

const (
	// leavingGrace is the time after which a host has heeded that a server leaves.
	leavingGrace = 200 * time.Millisecond
	// quietGrace is the time after which a host has heeded a Retry-After header; maxQuietArrivals requests are permitted even
	// then.
	quietGrace       = 500 * time.Millisecond
	maxQuietArrivals = 2
)

// quiet is the time for which a server wants nothing from a host, and the number of requests that came in spite of that.
type quiet struct {
	from, until time.Time
	arrivals    int
}

// extended returns the time after the host was told once more; a time that is in force goes on.
func (q quiet) extended(now time.Time, d time.Duration) quiet {
	if now.After(q.until) {
		q = quiet{
			from: now.Add(quietGrace),
		}
	}
	if until := now.Add(d); until.After(q.until) {
		q.until = until
	}
	return q
}

// WithLeaving returns a change that makes all replies say that the server leaves, or no longer. The server counts a violation
// for each request from a host later than leavingGrace after it has told that host.
func WithLeaving(leaving bool) func(*Server) {
	return func(s *Server) { s.leaving, s.leavingTold = leaving, make(map[string]time.Time) }
}

// WithRetryAfter returns a change that sets the Retry-After header, in seconds, with which the server turns requests away: all
// of them unless it has slots, and none without slots if the header is empty. The server counts a violation for each request
// beyond maxQuietArrivals that comes from a host between quietGrace after it has told that host and the end of that time.
func WithRetryAfter(value string) func(*Server) {
	return func(s *Server) { s.retryAfter = value }
}

// turnsAway counts violations by a host that was told to send nothing more. It reports whether the server turns the request
// away, with the Retry-After header line, if any, and otherwise counts it as running.
func (s *Server) turnsAway(sender string) (header string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if sender == "" {
		return s.turnsAwayUnknown()
	}
	if told := s.leavingTold[sender]; !told.IsZero() && now.Sub(told) > leavingGrace {
		s.log.violation("leaving")
	}
	if q, told := s.quiets[sender]; told && now.After(q.from) && now.Before(q.until) {
		if q.arrivals++; q.arrivals > maxQuietArrivals {
			s.log.violation("quiet")
		}
		s.quiets[sender] = q
	}
	if header, ok := s.turnsAwayUnknown(); !ok || header == "" {
		return header, ok
	}
	if seconds, err := strconv.ParseFloat(s.retryAfter, 64); err == nil && seconds > 0 {
		s.quiets[sender] = s.quiets[sender].extended(now, time.Duration(seconds*float64(time.Second)))
	}
	return "Retry-After: " + s.retryAfter + "\r\n", true
}

// turnsAwayUnknown is turnsAway for a sender that is not known, as over TCP, where no violations are counted. The caller holds mu.
func (s *Server) turnsAwayUnknown() (header string, ok bool) {
	full := s.slots > 0 && s.running >= s.slots
	switch {
	case !full && (s.slots > 0 || s.retryAfter == ""):
		s.running++
		return "", false
	case s.retryAfter == "":
		return "", true
	}
	return "Retry-After: " + s.retryAfter + "\r\n", true
}

// leavingField returns the header line of a server that leaves, and records that the host of the connection is told.
func (s *Server) leavingField(c net.Conn) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leaving {
		return ""
	}
	if sender := stand.OwnerOf(c); s.leavingTold[sender].IsZero() {
		s.leavingTold[sender] = time.Now()
	}
	return "Server-Leaving: 1\r\n"
}
