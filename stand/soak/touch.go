package soak

import (
	"sync"
	"time"
)

// touch records the time since when the store, or a host, has been without trouble. It is safe for concurrent use.
type touch struct {
	mu sync.Mutex
	// troubles is the number of troubles in progress, and ended the time at which the last one ended.
	troubles int
	ended    time.Time
}

// disturb begins a trouble; end ends it.
func (t *touch) disturb() (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.troubles++
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.troubles--
		t.ended = time.Now()
	}
}

// soundSince reports whether there has been no trouble at any time after at.
func (t *touch) soundSince(at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.troubles == 0 && t.ended.Before(at)
}
