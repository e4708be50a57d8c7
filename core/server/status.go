package server

import (
	"fmt"
	"time"
)

// updateStatus takes in a server's word about itself: restarts and drain count, load figures do not.
func (s *Server) updateStatus(status Status) {
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
		deliverNotExecuted(flushed, "server leaving")
	}
}

// recordServiceTime records the service time of a reply.
func (s *Server) recordServiceTime(serviceTime time.Duration) {
	s.mu.Lock()
	before := s.warmup.Limit()
	baseline := s.warmup.BaselineServiceTime()
	cold := s.warmup.Success(serviceTime)
	atCeiling := before < s.warmup.Limit() && s.warmup.AtCeiling()
	s.dispatch()
	s.mu.Unlock()
	if cold {
		s.journal.Record("server", s.spec.ID, "back to the cold limit",
			fmt.Sprintf("replies take %s, usual are %s", serviceTime, baseline))
	}
	if atCeiling {
		s.journal.Record("server", s.spec.ID, "warm", "its concurrency limit has reached its slots")
	}
}

func (s *Server) recordShed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.warmup.Shed()
}

// dialSucceeded records that a connection could be opened.
func (s *Server) dialSucceeded() {
	s.mu.Lock()
	wasDown := s.down
	s.down = false
	s.mu.Unlock()
	if wasDown {
		s.journal.Record("server", s.spec.ID, "reached again", "a connection could be opened")
	}
}

// dialFailed records that no connection could be opened and returns queued jobs as not run.
func (s *Server) dialFailed(err error) {
	s.mu.Lock()
	first := !s.down
	s.down = true
	s.unverified = true
	flushed := s.flush()
	s.mu.Unlock()
	if first {
		s.journal.Record("server", s.spec.ID, "down", err.Error())
	}
	deliverNotExecuted(flushed, "server down")
}

// connectionLost records the loss of a connection; the limit is cold until a reply shows that the server did not restart.
func (s *Server) connectionLost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unverified = true
}

// replaceConnections has all connections replaced that are as old as one that went silent at the given time,
// since what silenced one has often silenced others.
func (s *Server) replaceConnections(silentAt time.Time) {
	s.mu.Lock()
	first := silentAt.After(s.replaceBefore)
	if first {
		s.replaceBefore = time.Now()
		for _, inbox := range s.idle {
			inbox <- nil
		}
		s.idle = nil
	}
	s.mu.Unlock()
	if first {
		s.journal.Record("server", s.spec.ID, "connections replaced", "one went silent")
	}
}

// mustReplace reports whether a connection opened at the given time is to be replaced.
func (s *Server) mustReplace(opened time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return opened.Before(s.replaceBefore)
}

// probeDelay is the time after which a reply is late enough to ask the server about it.
func (s *Server) probeDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if baseline := s.warmup.BaselineServiceTime(); baseline > 0 {
		return max(probeDelayFactor*baseline, minProbeDelay)
	}
	return initialProbeDelay
}

const (
	probeDelayFactor  = 4
	minProbeDelay     = 30 * time.Millisecond
	initialProbeDelay = 150 * time.Millisecond
)
