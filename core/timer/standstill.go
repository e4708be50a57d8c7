package timer

import (
	"sync"
	"time"
)

const (
	// minStandstill is the lateness of a tick from which on the process is taken to have stood still.
	minStandstill = 200 * time.Millisecond
	// backlogTime is the time after a standstill within which the process reads what has arrived meanwhile.
	backlogTime = 100 * time.Millisecond
)

// standstill is the last time in which the process did not send ticks that were due. It is safe for concurrent use.
type standstill struct {
	mu sync.Mutex
	// due is the time of the next tick.
	due          time.Time
	began, ended time.Time
}

// expect records that the process runs, and that it will send ticks at due.
func (s *standstill) expect(now, due time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.due.IsZero() && now.Sub(s.due) >= minStandstill {
		s.began, s.ended = s.due, now
	}
	s.due = due
}

// before returns the length of a standstill that lasts at a moment, or ended within backlogTime before it.
func (s *standstill) before(at time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.due.IsZero() && at.Sub(s.due) >= minStandstill:
		return at.Sub(s.due)
	case at.Before(s.began) || at.Sub(s.ended) >= backlogTime:
		return 0
	case at.Before(s.ended):
		return at.Sub(s.began)
	default:
		return s.ended.Sub(s.began)
	}
}

// stop records that no more ticks are sent.
func (s *standstill) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.due = time.Time{}
}
