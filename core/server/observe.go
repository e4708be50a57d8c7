package server

import (
	"fmt"
	"time"
)

// observe takes in a server's word about itself: restarts and drain count, load figures do not.
func (s *Server) observe(status Status) {
	s.mu.Lock()
	restarted := s.status.StartID != 0 && status.StartID != s.status.StartID
	drained := status.Draining && !s.status.Draining
	s.status = status
	s.unverified = false
	if restarted {
		s.warmup.Reset()
	}
	var flushed []*Job
	if drained {
		flushed = s.flush()
	}
	s.dispatch()
	s.mu.Unlock()
	if restarted {
		s.journal.Record("server", s.spec.ID, "warming from the cold limit", "its start identifier changed")
	}
	if drained {
		s.journal.Record("server", s.spec.ID, "takes no new work", "it says that it is leaving")
		refuse(flushed, "server leaving")
	}
}

// succeeded records the service time of a reply.
func (s *Server) succeeded(service time.Duration) {
	s.mu.Lock()
	before := s.warmup.Limit()
	usual := s.warmup.BaselineServiceTime()
	cold := s.warmup.Success(service)
	full := before < s.warmup.Limit() && s.warmup.AtCeiling()
	s.dispatch()
	s.mu.Unlock()
	if cold {
		s.journal.Record("server", s.spec.ID, "back to the cold limit",
			fmt.Sprintf("replies take %s, usual are %s", service, usual))
	}
	if full {
		s.journal.Record("server", s.spec.ID, "warm", "its concurrency limit has reached its slots")
	}
}

func (s *Server) shed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.warmup.Shed()
}

// connected records that a connection could be opened.
func (s *Server) connected() {
	s.mu.Lock()
	back := s.down
	s.down = false
	s.mu.Unlock()
	if back {
		s.journal.Record("server", s.spec.ID, "reached again", "a connection could be opened")
	}
}

// unreached records that no connection could be opened and returns queued jobs as not run.
func (s *Server) unreached(err error) {
	s.mu.Lock()
	first := !s.down
	s.down = true
	s.unverified = true
	flushed := s.flush()
	s.mu.Unlock()
	if first {
		s.journal.Record("server", s.spec.ID, "down", err.Error())
	}
	refuse(flushed, "server down")
}

// lost records the loss of a connection; the limit is cold until a reply shows that the server did not restart.
func (s *Server) lost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unverified = true
}

// retire has all connections replaced that are as old as one that went silent at the given time,
// since what silenced one has often silenced others.
func (s *Server) retire(silentAt time.Time) {
	s.mu.Lock()
	first := silentAt.After(s.suspect)
	if first {
		s.suspect = time.Now()
		for _, lane := range s.idle {
			lane <- nil
		}
		s.idle = nil
	}
	s.mu.Unlock()
	if first {
		s.journal.Record("server", s.spec.ID, "connections replaced", "one went silent")
	}
}

// suspects reports whether a connection opened at the given time is to be replaced.
func (s *Server) suspects(opened time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return opened.Before(s.suspect)
}

// patience is the time after which a reply is late enough to ask the server about it.
func (s *Server) patience() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if usual := s.warmup.BaselineServiceTime(); usual > 0 {
		return max(patienceFactor*usual, minPatience)
	}
	return firstPatience
}

const (
	patienceFactor = 4
	minPatience    = 30 * time.Millisecond
	firstPatience  = 150 * time.Millisecond
)
