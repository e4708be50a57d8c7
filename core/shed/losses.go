package shed

import (
	"math"
	"sync"
	"time"
)

const (
	// lossHalfLife is the time after which an observation counts half, shorter than the window of the budget.
	lossHalfLife = 2 * time.Second
	// minObservations is the number of calls, weighted by age, below which the share of lost ones is not known.
	minObservations = 8
	// lossyShare is the share of lost calls from which hedges leave a part of the budget for repeated calls to retries, and
	// lossyHedgePart the part that they may use then.
	lossyShare     = 0.03
	lossyHedgePart = 0.6
)

// Losses is the share of recent calls that brought no reply: a server rejected them, or may have executed them and its reply
// was lost. It is safe for concurrent use.
//
// It answers servers that lose or reject a part of their calls while others are slow: each call that brought nothing needs
// a retry, and a host has a budget for few of them.
type Losses struct {
	mu    sync.Mutex
	calls float64
	lost  float64
	at    time.Time
}

// Observe records the end of a call.
func (l *Losses) Observe(lost bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decay(now)
	l.calls++
	if lost {
		l.lost++
	}
}

// HedgePart returns the part of the budget for repeated calls that hedges may use. A retry decides whether a shard is in the
// answer, a hedge mostly when it is: while calls bring no reply, hedges must not use up what the retries need.
func (l *Losses) HedgePart(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decay(now)
	if l.calls < minObservations || l.lost < lossyShare*l.calls {
		return 1
	}
	return lossyHedgePart
}

// decay reduces the weight of past observations; the caller holds mu.
func (l *Losses) decay(now time.Time) {
	if elapsed := now.Sub(l.at); elapsed > 0 {
		factor := math.Exp2(-float64(elapsed) / float64(lossHalfLife))
		l.calls, l.lost, l.at = l.calls*factor, l.lost*factor, now
	}
}
