package index

import "sync"

// Holdings remembers which snapshots each backend server was last seen to hold.
type Holdings struct {
	mu     sync.RWMutex
	ranges map[string]span
}

type span struct {
	oldest uint64
	newest uint64
}

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
	seen := span{
		oldest: oldest,
		newest: newest,
	}
	h.mu.RLock()
	known := h.ranges[server] == seen
	h.mu.RUnlock()
	if known {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ranges[server] = seen
}

// Holds reports whether server may hold the snapshot; a server never heard of may.
func (h *Holdings) Holds(server string, version uint64) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	seen, ok := h.ranges[server]
	return !ok || (seen.oldest <= version && version <= seen.newest)
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
