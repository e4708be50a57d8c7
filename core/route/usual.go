package route

import (
	"time"

	"magnoliaworks/core/limit"
)

const (
	// usualShare is the quantile that counts as the usual time of a kind; slow servers do not move a median.
	usualShare = 0.5
	// usualFirst is the usual time of a kind that has not been observed.
	usualFirst = 20 * time.Millisecond
	// maxKinds bounds the kinds whose times are remembered; at the bound all are learned anew.
	maxKinds = 4096
)

// MedianLatency returns the median time of a kind over all servers.
func (p *Picker) MedianLatency(kind string) time.Duration {
	p.mu.RLock()
	usual, ok := p.kinds[kind]
	p.mu.RUnlock()
	if !ok {
		return usualFirst
	}
	return usual.Value()
}

// learn takes in one observed time of a kind and returns its usual time.
func (p *Picker) learn(kind string, took time.Duration) time.Duration {
	p.mu.RLock()
	usual, ok := p.kinds[kind]
	p.mu.RUnlock()
	if !ok {
		usual = limit.NewQuantile(usualShare, took)
		p.mu.Lock()
		if len(p.kinds) >= maxKinds {
			clear(p.kinds)
		}
		p.kinds[kind] = usual
		p.mu.Unlock()
	}
	usual.Observe(took)
	return usual.Value()
}
