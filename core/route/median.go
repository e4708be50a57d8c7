package route

import (
	"time"

	"magnoliaworks/core/limit"
)

const (
	// medianQuantile is the quantile of a kind's latencies that serves as the reference; slow servers do not move a median.
	medianQuantile = 0.5
	// initialMedian is the median latency that is assumed for a kind before its first observation.
	initialMedian = 20 * time.Millisecond
	// maxKinds bounds the number of medians and of sizes that are kept; at the bound all are dropped and estimated anew.
	maxKinds = 4096
)

// MedianLatency returns the estimated median latency of a kind of request over all servers.
func (p *Picker) MedianLatency(kind string) time.Duration {
	p.mu.RLock()
	median, ok := p.medians[kind]
	p.mu.RUnlock()
	if !ok {
		return initialMedian
	}
	return median.Value()
}

// observeLatency adds one observed latency of a kind and returns the new median.
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
