package index

import (
	"sync"
	"time"
)

// Holdings remembers which snapshots each backend server was last seen to hold.
type Holdings struct {
	mu     sync.RWMutex
	ranges map[string]span
}

type span struct {
	oldest uint64
	newest uint64
	at     time.Time
}

// absenceTrust is the time for which a server that was too old for a snapshot is taken to be so still.
const absenceTrust = 2 * time.Second

// relearnTime is the age from which the same news is noted again.
const relearnTime = absenceTrust / 4

// NewHoldings returns an empty memory.
func NewHoldings() *Holdings {
	return &Holdings{
		ranges: make(map[string]span),
	}
}

// Learn records that server holds the snapshots from oldest to newest; zeros teach nothing.
func (h *Holdings) Learn(server string, oldest, newest uint64) {
	if newest == 0 {
		return
	}
	now := time.Now()
	h.mu.RLock()
	known := h.ranges[server]
	h.mu.RUnlock()
	if known.oldest == oldest && known.newest == newest && now.Sub(known.at) < relearnTime {
		return
	}
	seen := span{
		oldest: oldest,
		newest: newest,
		at:     now,
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ranges[server] = seen
}

// Holds reports whether server may hold the snapshot; a server never heard of may.
// Servers move to newer snapshots, so word that one is too old is trusted only for a while.
func (h *Holdings) Holds(server string, version uint64) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	seen, ok := h.ranges[server]
	if !ok {
		return true
	}
	if version > seen.newest {
		return time.Since(seen.at) > absenceTrust
	}
	return version >= seen.oldest
}

// Seen reports whether server was seen to hold the snapshot.
func (h *Holdings) Seen(server string, version uint64) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	seen, ok := h.ranges[server]
	return ok && seen.oldest <= version && version <= seen.newest
}

// Keep forgets every server for which wanted returns false.
func (h *Holdings) Keep(wanted func(server string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for server := range h.ranges {
		if !wanted(server) {
			delete(h.ranges, server)
		}
	}
}
