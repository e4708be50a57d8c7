package limit

import (
	"sync"
	"time"
)

// quantileStep is the relative change of an estimate at one observation.
const quantileStep = 0.05

// Quantile estimates one quantile of a stream of durations by stochastic approximation in constant memory.
type Quantile struct {
	mu       sync.Mutex
	quantile float64
	estimate float64
}

// NewQuantile returns an estimate that starts at first.
func NewQuantile(quantile float64, initial time.Duration) *Quantile {
	return &Quantile{
		quantile: quantile,
		estimate: float64(initial),
	}
}

// Observe takes in one duration.
func (q *Quantile) Observe(d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if float64(d) > q.estimate {
		q.estimate *= 1 + quantileStep*q.quantile
		return
	}
	q.estimate *= 1 - quantileStep*(1-q.quantile)
}

// Value returns the present estimate.
func (q *Quantile) Value() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return time.Duration(q.estimate)
}
