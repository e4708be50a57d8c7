package index

import (
	"sync"
	"time"
)

// SnapshotTracker remembers which snapshots each backend server was last seen to hold.
type SnapshotTracker struct {
	mu     sync.RWMutex
	ranges map[string]snapshotRange
}

type snapshotRange struct {
	oldest     uint64
	newest     uint64
	observedAt time.Time
}

// absenceValidity is the time for which a server that was too old for a snapshot is taken to be so still.
const absenceValidity = 2 * time.Second

// refreshInterval is the age from which the same news is noted again.
const refreshInterval = absenceValidity / 4

// NewSnapshotTracker returns an empty memory.
func NewSnapshotTracker() *SnapshotTracker {
	return &SnapshotTracker{
		ranges: make(map[string]snapshotRange),
	}
}

// Observe records that server holds the snapshots from oldest to newest; zeros teach nothing.
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

// MayHold reports whether server may hold the snapshot; a server never heard of may.
// Servers move to newer snapshots, so word that one is too old is trusted only for a while.
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

// KnownToHold reports whether server was seen to hold the snapshot.
func (t *SnapshotTracker) KnownToHold(server string, version uint64) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	seen, ok := t.ranges[server]
	return ok && seen.oldest <= version && version <= seen.newest
}

// Retain forgets every server for which wanted returns false.
func (t *SnapshotTracker) Retain(wanted func(server string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for server := range t.ranges {
		if !wanted(server) {
			delete(t.ranges, server)
		}
	}
}
