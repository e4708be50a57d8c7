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
	share    float64
	estimate float64
}

// NewQuantile returns an estimate that starts at first.
func NewQuantile(share float64, first time.Duration) *Quantile {
	return &Quantile{
		share:    share,
		estimate: float64(first),
	}
}

// Observe takes in one duration.
func (q *Quantile) Observe(d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if float64(d) > q.estimate {
		q.estimate *= 1 + quantileStep*q.share
		return
	}
	q.estimate *= 1 - quantileStep*(1-q.share)
}

// Value returns the present estimate.
func (q *Quantile) Value() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return time.Duration(q.estimate)
}
