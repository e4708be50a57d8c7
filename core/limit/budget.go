// Package limit provides budgets for extra work, rate limits, concurrency limits and an estimator of latency quantiles.
package limit

import "sync"

// Budget is a token bucket that bounds extra work (retries, hedges) to a share of ordinary work.
// Each ordinary unit adds a share of a token; each extra unit removes one. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	share  float64
	burst  float64
	tokens float64
}

// NewBudget returns a full budget that holds at most burst tokens and adds share tokens per ordinary unit.
func NewBudget(share float64, burst int) *Budget {
	return &Budget{
		share:  share,
		burst:  float64(burst),
		tokens: float64(burst),
	}
}

// Earn adds the tokens for n units of ordinary work.
func (b *Budget) Earn(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+float64(n)*b.share)
}

// Spend removes the token for one extra unit and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// SetShare changes the number of tokens that each unit of ordinary work adds.
func (b *Budget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
}
