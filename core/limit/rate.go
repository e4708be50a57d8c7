package limit

import (
	"sync"
	"time"
)

// Rate limits the units of work in any one second. It is safe for concurrent use.
type Rate struct {
	mu sync.Mutex
	// admitted holds the times of the units within the last rateWindow, oldest first.
	admitted []time.Time
}

// Allow admits one unit if fewer than bound were admitted within the last rateWindow, and reports whether it did.
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

// CanAllow reports whether Allow would admit a unit, without counting one.
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

// rateWindow is the length of the window in which units are counted. It exceeds one second by the variation of
// network delays, since units that are sent more than a second apart may arrive within one.
const rateWindow = 1100 * time.Millisecond
