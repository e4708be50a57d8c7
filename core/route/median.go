package route

import (
	"time"

	"magnoliaworks/core/limit"
)

const (
	// medianQuantile is the quantile that counts as the usual time of a kind; slow servers do not move a median.
	medianQuantile = 0.5
	// initialMedian is the usual time of a kind that has not been observed.
	initialMedian = 20 * time.Millisecond
	// maxKinds bounds the kinds whose times are remembered; at the bound all are learned anew.
	maxKinds = 4096
)

// MedianLatency returns the median time of a kind over all servers.
func (p *Picker) MedianLatency(kind string) time.Duration {
	p.mu.RLock()
	median, ok := p.medians[kind]
	p.mu.RUnlock()
	if !ok {
		return initialMedian
	}
	return median.Value()
}

// observeLatency takes in one observed time of a kind and returns its usual time.
func (p *Picker) observeLatency(kind string, took time.Duration) time.Duration {
	p.mu.RLock()
	median, ok := p.medians[kind]
	p.mu.RUnlock()
	if !ok {
		median = limit.NewQuantile(medianQuantile, took)
		p.mu.Lock()
		if len(p.medians) >= maxKinds {
			clear(p.medians)
		}
		p.medians[kind] = median
		p.mu.Unlock()
	}
	median.Observe(took)
	return median.Value()
}
