package server

import (
	"sort"
	"time"
)

// Report is the state of one backend server for operators.
type Report struct {
	ID                  string
	State               string
	Limit               int
	Slots               int
	InProgress          int
	Queued              int
	BaselineServiceTime time.Duration
	// WaitingFor tells what the server waits for, in words.
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

func (s *Server) state() (state, waitingFor string) {
	switch {
	case s.status.Draining:
		return "leaving", "it says that it is leaving"
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
