package limit

import "sync/atomic"

// Semaphore admits work up to a bound and counts it.
type Semaphore struct {
	bound  int64
	inside atomic.Int64
}

// NewSemaphore returns a semaphore that admits bound units at once.
func NewSemaphore(bound int) *Semaphore {
	return &Semaphore{
		bound: int64(bound),
	}
}

// TryAcquire admits one unit and reports whether there was room.
func (s *Semaphore) TryAcquire() bool {
	if s.inside.Add(1) > s.bound {
		s.inside.Add(-1)
		return false
	}
	return true
}

// Release ends one admitted unit.
func (s *Semaphore) Release() { s.inside.Add(-1) }

// InUse returns the number of admitted units.
func (s *Semaphore) InUse() int { return int(s.inside.Load()) }
