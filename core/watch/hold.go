package watch

import (
	"context"
	"maps"
	"slices"
	"time"
)

const (
	// reregisterTime is the time after an outage of the store within which servers register again whose registrations
	// expired during the outage.
	reregisterTime = 2500 * time.Millisecond
	// holdCheckPeriod is the time between two checks for held removals that are due, and for changes that are overdue.
	holdCheckPeriod = 100 * time.Millisecond
)

// recordUnreached holds removals until the store answers and servers have had time to register again, and wakes waiting feeds so that
// they fail.
func (w *Watcher) recordUnreached() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unreached = true
	w.notify()
}

// recordReached records that the store answers. The time for servers to register again begins with the first answer after a failed
// ping: the last ping of an outage may fail long after its end. The caller holds mu.
func (w *Watcher) recordReached() {
	if w.unreached {
		w.unreached = false
		w.holdUntil = time.Now().Add(reregisterTime)
	}
}

// releaseLoop applies held removals when they are due, drops expired tombstones and catches up with other hosts.
func (w *Watcher) releaseLoop(ctx context.Context) error {
	ticks := w.timer.Subscribe(ctx, holdCheckPeriod)
	for {
		select {
		case <-ctx.Done():
			return nil
		case tick := <-ticks:
			w.releaseDue(tick.At)
			if l, ok := w.overdueLag(tick.At); ok {
				w.restartWatchesBehind(l.newest)
				w.fetch(ctx, l.host) // A failure is repeated after the next announcement.
			}
		}
	}
}

// releaseDue applies the held removals and registrations that are due, unless the store does not answer. It also drops expired
// tombstones.
func (w *Watcher) releaseDue(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cache.expireTombstones(now)
	if w.unreached {
		return
	}
	for kind, held := range w.held {
		until := w.rewriteUntil
		if Kind(kind) == Servers {
			until = w.holdUntil
		}
		if now.After(until) && len(held) > 0 {
			due := slices.Collect(maps.Values(held))
			clear(held)
			w.applyNewer(Kind(kind), due, byRelease)
		}
	}
	w.releaseLate(now)
}
