package limit

import (
	"sync"
	"time"
)

// quantileStep scales the relative change of the estimate per observation.
const quantileStep = 0.05

// Quantile estimates one quantile of a stream of durations in constant memory by stochastic approximation:
// each observation moves the estimate a step up or down, and the steps balance at the quantile.
// It is safe for concurrent use.
type Quantile struct {
	mu       sync.Mutex
	quantile float64
	estimate float64
}

// NewQuantile returns an estimator of a quantile between 0 and 1, whose first estimate is initial.
// An initial estimate of 0 would never change, since each step is a share of the estimate.
func NewQuantile(quantile float64, initial time.Duration) *Quantile {
	return &Quantile{
		quantile: quantile,
		estimate: float64(initial),
	}
}

// Observe updates the estimate with one duration.
func (q *Quantile) Observe(d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if float64(d) > q.estimate {
		q.estimate *= 1 + quantileStep*q.quantile
		return
	}
	q.estimate *= 1 - quantileStep*(1-q.quantile)
}

// Value returns the current estimate.
func (q *Quantile) Value() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return time.Duration(q.estimate)
}
