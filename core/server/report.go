package server

import (
	"sort"
	"time"
)

// Report is the state of one backend server as operators see it.
type Report struct {
	ID    string
	State string
	// Limit is the concurrency limit that this host applies.
	Limit int
	Slots int
	// InProgress and Queued are the numbers of jobs of this host.
	InProgress int
	Queued     int
	// BaselineServiceTime is the smoothed service time of the warm server; 0 while it is not known.
	BaselineServiceTime time.Duration
	// WaitingFor says in words why the server does not serve at its ceiling, which is Slots; it is "nothing" if it does.
	WaitingFor string
}

// Inspect returns the state of every backend server of this host, ordered by ID.
func (g *Group) Inspect() []Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	reports := make([]Report, 0, len(g.servers))
	for _, s := range g.servers {
		reports = append(reports, s.report())
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].ID < reports[j].ID })
	return reports
}

// report returns the state of the server.
func (s *Server) report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Report{
		ID:                  s.spec.ID,
		Limit:               s.limit(),
		Slots:               s.spec.Slots,
		InProgress:          len(s.running),
		Queued:              len(s.queue),
		BaselineServiceTime: s.warmup.BaselineServiceTime(),
	}
	r.State, r.WaitingFor = s.state()
	return r
}

// state returns the state of the server and what it waits for, both in words. The caller holds s.mu.
func (s *Server) state() (state, waitingFor string) {
	switch {
	case s.status.Draining:
		return "leaving", "it reports that it is draining"
	case s.down:
		return "down", "for a connection to open"
	case s.unverified:
		return "unverified", "for a reply that shows whether it restarted"
	case !s.warmup.AtCeiling():
		return "warming", "for more good replies before its limit grows"
	default:
		return "serving", "nothing"
	}
}
