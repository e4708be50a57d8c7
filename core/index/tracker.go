package index

import (
	"sync"
	"time"
)

// SnapshotTracker holds the range of snapshots that each backend server last reported. It is safe for concurrent use.
type SnapshotTracker struct {
	mu     sync.RWMutex
	ranges map[string]snapshotRange
}

// snapshotRange is the range of snapshots that a server reported, both ends included.
type snapshotRange struct {
	oldest     uint64
	newest     uint64
	observedAt time.Time
}

// absenceValidity is the time for which a server is expected to lack snapshots newer than those that it reported.
const absenceValidity = 2 * time.Second

// refreshInterval is the age at which an unchanged range is stored again; before that, equal reports need no write lock.
const refreshInterval = absenceValidity / 4

// NewSnapshotTracker returns a tracker without observations.
func NewSnapshotTracker() *SnapshotTracker {
	return &SnapshotTracker{
		ranges: make(map[string]snapshotRange),
	}
}

// Observe records that server holds the snapshots from oldest to newest; a newest of 0 means unknown and is ignored.
func (t *SnapshotTracker) Observe(server string, oldest, newest uint64) {
	if newest == 0 {
		return
	}
	now := time.Now()
	t.mu.RLock()
	known := t.ranges[server]
	t.mu.RUnlock()
	if known.oldest == oldest && known.newest == newest && now.Sub(known.observedAt) < refreshInterval {
		return
	}
	seen := snapshotRange{
		oldest:     oldest,
		newest:     newest,
		observedAt: now,
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ranges[server] = seen
}

// MayHold reports whether server may hold the snapshot; a server without observations may.
// Servers load newer snapshots over time, so a report without the snapshot counts only for absenceValidity.
func (t *SnapshotTracker) MayHold(server string, version uint64) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	seen, ok := t.ranges[server]
	if !ok {
		return true
	}
	if version > seen.newest {
		return time.Since(seen.observedAt) > absenceValidity
	}
	return version >= seen.oldest
}

// KnownToHold reports whether the last observed range of server contains the snapshot.
func (t *SnapshotTracker) KnownToHold(server string, version uint64) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	seen, ok := t.ranges[server]
	return ok && seen.oldest <= version && version <= seen.newest
}

// Retain deletes the observations of every server for which wanted returns false.
func (t *SnapshotTracker) Retain(wanted func(server string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for server := range t.ranges {
		if !wanted(server) {
			delete(t.ranges, server)
		}
	}
}
