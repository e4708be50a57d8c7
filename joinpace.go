package magnoliaworks

import (
	"math/rand/v2"
	"time"
)

// joinPace spaces the attempts to reach hosts that are not available in the view.
type joinPace struct {
	last time.Time
	// period bounds the time between two attempts while other hosts are available, and gap is that time for the next one.
	period, gap time.Duration
}

// newJoinPace returns a pace for a host whose last attempt was at a time.
func newJoinPace(last time.Time) *joinPace {
	p := &joinPace{
		last: last,
	}
	p.setPeriod(initialJoinPeriod)
	return p
}

// due reports whether an attempt is due, and counts it as made. alone is set while no other host is available.
func (p *joinPace) due(now time.Time, alone bool) bool {
	gap := p.gap
	if alone {
		gap = joinPeriod
	}
	if now.Sub(p.last) < gap {
		return false
	}
	p.last = now
	if alone {
		p.setPeriod(initialJoinPeriod)
	} else {
		p.setPeriod(min(2*p.period, maxRejoinPeriod))
	}
	return true
}

// setPeriod sets the period, and draws the next gap from its upper half, so that hosts that started together part.
func (p *joinPace) setPeriod(period time.Duration) {
	p.period = period
	p.gap = period/2 + rand.N(period/2)
}
