package watch

import "time"

const (
	// standInTime is the time for which a host has checked the store again and again for want of another one's word before it takes over
	// what that one does for the fleet. A check or two after a start don't count.
	standInTime = 5 * time.Second
	// standInGap is the longest time between two such checks.
	standInGap = 4 * time.Second
)

// standIn records since when and until when this host has checked the store in place of the host that is to do so.
type standIn struct {
	since time.Time
	until time.Time
}

// recordStandIn records that this host has checked the store although another one is to do so.
func (w *Watcher) recordStandIn() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if now.Sub(w.standIn.until) > standInGap {
		w.standIn.since = now
	}
	w.standIn.until = now
}

// StandsIn reports whether this host has long checked the store in place of the host that is to do so for the fleet, which may lack it.
func (w *Watcher) StandsIn() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.standIn.until) <= standInGap && w.standIn.until.Sub(w.standIn.since) >= standInTime
}
