package limit

import "sync/atomic"

// Semaphore bounds the number of units in progress; it never blocks. It is safe for concurrent use.
type Semaphore struct {
	capacity int64
	inUse    atomic.Int64
}

// NewSemaphore returns a semaphore for at most capacity units at a time.
func NewSemaphore(capacity int) *Semaphore {
	return &Semaphore{
		capacity: int64(capacity),
	}
}

// TryAcquire acquires one unit and reports whether it succeeded.
func (s *Semaphore) TryAcquire() bool {
	if s.inUse.Add(1) > s.capacity {
		s.inUse.Add(-1)
		return false
	}
	return true
}

// Release releases one acquired unit.
func (s *Semaphore) Release() { s.inUse.Add(-1) }

// InUse returns the number of acquired units.
func (s *Semaphore) InUse() int { return int(s.inUse.Load()) }
