// Package limit holds the budgets and concurrency limits of the query path.
package limit

import "sync"

// Budget grants extra work as a share of ordinary work.
// Each ordinary unit earns a share of a token; each extra unit spends one.
type Budget struct {
	mu     sync.Mutex
	share  float64
	burst  float64
	tokens float64
}

// NewBudget returns a full budget that grants share extra units for each ordinary unit and at most burst at once.
func NewBudget(share float64, burst int) *Budget {
	return &Budget{
		share:  share,
		burst:  float64(burst),
		tokens: float64(burst),
	}
}

// Earn records n units of ordinary work.
func (b *Budget) Earn(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+float64(n)*b.share)
}

// Spend takes one token and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// SetShare changes the share of extra units that ordinary work earns.
func (b *Budget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
}
