package shed

import (
	"sync"
	"time"
)

const (
	// decreaseFactor multiplies the admitted share after a search that failed for rejected calls, at most once each
	// decreasePeriod. increasePerSearch is added to it for each search that was answered, and increasePerSecond as time
	// passes, so that a host without searches recovers too.
	decreaseFactor    = 0.5
	decreasePeriod    = 100 * time.Millisecond
	increasePerSearch = 0.1
	increasePerSecond = 0.1
	// minShare is the least share of searches that is admitted, so that the end of an overload is noticed.
	minShare = 0.1
)

// Admission bounds the share of a route's searches that a host starts, by additive increase and multiplicative decrease:
// Chiu and Jain, "Analysis of the increase and decrease algorithms", 1989. It is safe for concurrent use.
//
// It answers a burst on a shard set of which some shards have lost servers. Each of these shards rejects a part of the
// calls, and a search needs nearly all shards: if each is offered more than it can do, hardly any search is complete,
// though most of the work is done. If fewer are started, these are complete.
type Admission struct {
	mu          sync.Mutex
	refused     float64
	updatedAt   time.Time
	decreasedAt time.Time
}

// Overloaded records a search that could not reach its minimum coverage since servers rejected its calls.
func (a *Admission) Overloaded(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recover(now)
	if now.Sub(a.decreasedAt) < decreasePeriod {
		return
	}
	a.decreasedAt = now
	a.refused = 1 - max(decreaseFactor*(1-a.refused), minShare)
}

// Answered records a search that reached its minimum coverage.
func (a *Admission) Answered(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recover(now)
	a.refused = max(a.refused-increasePerSearch, 0)
}

// Share returns the share of searches to start now.
func (a *Admission) Share(now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recover(now)
	return max(1-a.refused, minShare)
}

// recover increases the admitted share by the time since the last call; the caller holds mu.
func (a *Admission) recover(now time.Time) {
	if elapsed := now.Sub(a.updatedAt); elapsed > 0 {
		a.refused = max(a.refused-increasePerSecond*elapsed.Seconds(), 0)
		a.updatedAt = now
	}
}
