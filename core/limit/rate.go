package limit

import (
	"sync"
	"time"
)

// Rate admits a number of units in any span of one second.
type Rate struct {
	mu sync.Mutex
	// admitted holds the times of the units of the last second, oldest first.
	admitted []time.Time
}

// Allow admits one unit if fewer than bound were admitted within the last second.
func (r *Rate) Allow(now time.Time, bound int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropExpired(now)
	if len(r.admitted) >= bound {
		return false
	}
	r.admitted = append(r.admitted, now)
	return true
}

// CanAllow reports whether Allow would admit a unit.
func (r *Rate) CanAllow(now time.Time, bound int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropExpired(now)
	return len(r.admitted) < bound
}

func (r *Rate) dropExpired(now time.Time) {
	n := 0
	for n < len(r.admitted) && now.Sub(r.admitted[n]) >= rateWindow {
		n++
	}
	r.admitted = r.admitted[n:]
}

// rateWindow is the span in which units are counted; it exceeds a second by the spread of network delays.
const rateWindow = 1100 * time.Millisecond
