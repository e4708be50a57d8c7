package server

import (
	"fmt"
	"time"
)

// updateStatus stores the status that a server reports, after which the server is verified. A restart resets
// the concurrency limit and draining empties the queue; load figures change nothing, since they may be late or wrong.
func (s *Server) updateStatus(status Status) {
	s.mu.Lock()
	restarted := s.status.StartID != 0 && status.StartID != s.status.StartID
	startsDraining := status.Draining && !s.status.Draining
	s.status = status
	s.unverified = false
	if restarted {
		s.warmup.Reset()
	}
	var flushed []*Job
	if startsDraining {
		flushed = s.flush()
	}
	s.dispatch()
	s.mu.Unlock()
	if restarted {
		s.journal.Record("server", s.spec.ID, "warming from the cold limit", "its start ID changed")
	}
	if startsDraining {
		s.journal.Record("server", s.spec.ID, "takes no new work", "it reports that it is draining")
		deliverNotExecuted(flushed, "server draining")
	}
}

// recordServiceTime records the service time of a reply, which may raise the concurrency limit or reset it.
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
			fmt.Sprintf("service time %s, baseline %s", serviceTime, baseline))
	}
	if atCeiling {
		s.journal.Record("server", s.spec.ID, "warm", "its concurrency limit has reached its slot count")
	}
}

// recordShed lowers the concurrency limit after the server refused a sub-request as full.
func (s *Server) recordShed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.warmup.Shed()
}

// dialSucceeded records that a connection was opened.
func (s *Server) dialSucceeded() {
	s.mu.Lock()
	wasDown := s.down
	s.down = false
	s.mu.Unlock()
	if wasDown {
		s.journal.Record("server", s.spec.ID, "reached again", "a connection could be opened")
	}
}

// dialFailed records that no connection could be opened, and returns the queued jobs as not executed.
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

// connectionLost records the loss of a connection. The concurrency limit is 1 until a reply shows
// that the server did not restart.
func (s *Server) connectionLost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unverified = true
}

// replaceConnections has all open connections replaced after one of them went silent, since what silenced one
// has often silenced others. It does nothing if they were replaced after silentAt, when the silent request was started.
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

// probeDelay returns the time without a reply after which the server is asked about a request.
// It also bounds the wait of verifyConnection.
func (s *Server) probeDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if baseline := s.warmup.BaselineServiceTime(); baseline > 0 {
		return max(probeDelayFactor*baseline, minProbeDelay)
	}
	return initialProbeDelay
}

const (
	// probeDelayFactor is the multiple of the baseline service time after which a reply is late.
	probeDelayFactor = 4
	// minProbeDelay is the least probe delay.
	minProbeDelay = 30 * time.Millisecond
	// initialProbeDelay is the probe delay while the baseline service time is not known.
	initialProbeDelay = 150 * time.Millisecond
)
