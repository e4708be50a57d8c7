package peer

import (
	"sync"
	"time"
)

const (
	// viewRate is the bandwidth for whole views in bytes per second, a sixth of the 6 KB/s that the users permit for control
	// traffic. Pings carry recent membership updates; whole views only repair what the updates missed.
	viewRate = 1_000
	// viewBurst is the number of exchanges of whole views without a pause between them, so that hosts that start together
	// agree soon.
	viewBurst = 4
	// memberSize is the assumed size of one member in a message in bytes; IDs and addresses vary in length.
	memberSize = 100
)

// viewBudget is a leaky bucket that bounds the whole views that a host sends and asks for. It is safe for concurrent use.
type viewBudget struct {
	mu sync.Mutex
	// level is the content of the bucket in bytes at the time updated; it drains at viewRate.
	level   float64
	updated time.Time
}

// allow reports whether the bucket has room for an exchange of two views of that many members, and adds it if so.
// The capacity is viewBurst such exchanges.
func (b *viewBudget) allow(members int, now time.Time) bool {
	cost := float64(2 * members * memberSize)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = max(b.level-viewRate*now.Sub(b.updated).Seconds(), 0)
	b.updated = now
	if b.level+cost > viewBurst*cost {
		return false
	}
	b.level += cost
	return true
}
