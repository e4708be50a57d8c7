package limit

import "sync/atomic"

// Semaphore admits work up to a bound and counts it.
type Semaphore struct {
	capacity int64
	inUse    atomic.Int64
}

// NewSemaphore returns a semaphore that admits bound units at once.
func NewSemaphore(capacity int) *Semaphore {
	return &Semaphore{
		capacity: int64(capacity),
	}
}

// TryAcquire admits one unit and reports whether there was room.
func (s *Semaphore) TryAcquire() bool {
	if s.inUse.Add(1) > s.capacity {
		s.inUse.Add(-1)
		return false
	}
	return true
}

// Release ends one admitted unit.
func (s *Semaphore) Release() { s.inUse.Add(-1) }

// InUse returns the number of admitted units.
func (s *Semaphore) InUse() int { return int(s.inUse.Load()) }
