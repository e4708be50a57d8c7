package shed

import (
	"math"
	"sync"
	"time"
)

const (
	// refusalWeight is the weight of one call in the smoothed share of refused calls, and refusalHalfLife the time without calls after
	// which it counts half, so that the end of refusals is noticed.
	refusalWeight   = 0.15
	refusalHalfLife = 3 * time.Second
	// minRefusals is the share of refused calls from which a service counts as refusing.
	minRefusals = 0.1
	// scarceShare is the share of a budget for repeated calls below which it is kept for the repeats that finish a search.
	scarceShare = 0.9
	// unlikelyLosses is the number of shards by which the expected losses exceed the allowed ones when a search is not started: with a
	// Poisson distribution, one in ten or fewer would finish if none or one may be lost.
	unlikelyLosses = 3
	// roundedReplies is the number by which the expected replies may be below the needed ones.
	roundedReplies = 0.5
)

// Refusals is the share of the calls for one service that its servers refuse, as one host sees it. It is safe for concurrent use.
type Refusals struct {
	mu    sync.Mutex
	share float64
	at    time.Time
}

// Observe records the end of a call.
func (r *Refusals) Observe(refused bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decay(now)
	r.share -= refusalWeight * r.share
	if refused {
		r.share += refusalWeight
	}
}

// Share returns the share of refused calls; it is 0 if hardly any is.
func (r *Refusals) Share(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decay(now)
	if r.share < minRefusals {
		return 0
	}
	return r.share
}

// decay reduces the share by the time since the last call; the caller holds mu.
func (r *Refusals) decay(now time.Time) {
	elapsed := now.Sub(r.at)
	if elapsed <= 0 {
		return
	}
	if r.share > 0 {
		r.share *= math.Exp2(-float64(elapsed) / float64(refusalHalfLife))
	}
	r.at = now
}

// Repeats is what a host knows of the repeated calls for one shard: the share of calls that its servers refuse, and the number of
// repeats that the budget of its service permits now, of those that it permits at most.
type Repeats struct {
	Refused float64
	Left    float64
	Most    float64
}

// Scarce reports whether the budget is kept for the repeats that finish a search. While it is not, each refused call is repeated.
func (r Repeats) Scarce() bool { return r.Left < scarceShare*r.Most }

// lost returns the probability that a shard whose call was refused stays without a reply though all repeats are used.
func (r Repeats) lost() float64 {
	return math.Pow(r.Refused, math.Floor(max(r.Left, 0)))
}

// MayFinish reports whether a search has a chance to reach its minimum coverage although servers refuse calls; allowed is the number of
// shards that it may lose. If it has none it is refused before any server has run it, unless random, a number between 0 and 1, is below
// minShare: a few show when the refusals end.
//
// It answers servers that refuse a part of their calls by chance on many shards of a set, once the budget for repeated calls is used
// up: a search that needs nearly all shards only takes work from those that may lose some.
func MayFinish(shards []Repeats, allowed int, random float64) bool {
	losses := 0.0
	for _, s := range shards {
		losses += s.Refused * s.lost()
	}
	return losses < float64(allowed+unlikelyLosses) || random < minShare
}

// NextRepeat is the decision which of the refused calls of a search is repeated. Its cases are Wait, Ask and Stop.
type NextRepeat interface {
	nextRepeat()
}

// Wait means that none is repeated now: the search reaches its minimum coverage without the refused shards.
type Wait struct{}

// Ask means that the call for the shard at Index of those waiting is repeated.
type Ask struct {
	Index int
}

// Stop means that the search is not likely to reach its minimum coverage with the repeats that are left.
type Stop struct{}

func (Wait) nextRepeat() {}
func (Ask) nextRepeat()  {}
func (Stop) nextRepeat() {}

// ChooseRepeat decides which of the refused calls of a search is repeated while the budget is scarce. Waiting are the shards whose calls
// were refused, lost the number of those that were given up, and allowed that of the shards that the search may lose.
//
// It answers the same pattern as MayFinish. A repeat is worth most where it finishes a search: shards that may be missing are not asked
// again, those with the largest budget come first, and a search that the budget is not likely to finish gets no repeats at all.
func ChooseRepeat(waiting []Repeats, lost, allowed int) NextRepeat {
	needed := lost + len(waiting) - allowed
	if needed <= 0 {
		return Wait{}
	}
	replies, richest := 0.0, 0
	for i, s := range waiting {
		replies += 1 - s.lost()
		if s.Left > waiting[richest].Left {
			richest = i
		}
	}
	if replies < float64(needed)-roundedReplies || waiting[richest].Left < 1 {
		return Stop{}
	}
	return Ask{
		Index: richest,
	}
}
