package quota

import (
	"math"
	"time"
)

// holding is what this host holds of one account, and what came of it.
type holding struct {
	// slots of the account's of slots in all are leased until the time until, which counts from the time leasedAt.
	slots    int
	of       int
	leasedAt time.Time
	validity time.Duration
	// uses are the times of the requests admitted by slots within the last window, oldest first.
	uses []time.Time
	// tokens admit one request each until tokenValidity after askedAt. tokenUses are the times when tokens were used within the
	// last window.
	tokens    int
	askedAt   time.Time
	tokenUses []time.Time
	// came counts the requests since countedAt, a refused one as half of one, since most come back. latest is their number in a
	// window when last counted, and demand that smoothed.
	came      float64
	countedAt time.Time
	latest    float64
	demand    float64
	// No tokens are asked for before shortUntil, a pause after none were left. asking is closed when the question in progress
	// has its reply; it is nil if there is none. waiting counts the requests that wait for it.
	shortUntil time.Time
	pause      time.Duration
	asking     chan struct{}
	waiting    int
}

// limit returns the number of slots that the host may use at a time, if the account has total slots by the configuration in
// force. A lease of more slots than that is lowered in proportion.
func (h *holding) limit(total int, now time.Time) int {
	if h.slots == 0 || elapsed(h.leasedAt, now) >= h.validity {
		return 0
	}
	if total < h.of {
		return h.slots * total / h.of
	}
	return h.slots
}

// admit admits a request if a slot or a token is left, and reports whether it did.
func (h *holding) admit(total int, window time.Duration, now time.Time) bool {
	h.dropOld(window, now)
	if len(h.uses) < h.limit(total, now) {
		h.uses = append(h.uses, now)
		return true
	}
	if h.tokens > 0 && elapsed(h.askedAt, now) < tokenValidity {
		h.tokens--
		h.tokenUses = append(h.tokenUses, now)
		return true
	}
	return false
}

// lend uses up to wanted free slots on behalf of another host, and returns their number. That host admits its requests until
// tokenValidity later.
func (h *holding) lend(wanted, total int, window time.Duration, now time.Time) int {
	h.dropOld(window, now)
	n := max(min(wanted, h.limit(total, now)-len(h.uses)), 0)
	for range n {
		h.uses = append(h.uses, now.Add(tokenValidity))
	}
	return n
}

// giveBack takes back the last request admitted, which was not executed. If a token was used within the window, the request may
// have been the token's, whose slot stays locked.
func (h *holding) giveBack(window time.Duration, now time.Time) {
	h.dropOld(window, now)
	if n := len(h.uses); n > 0 && !h.uses[n-1].After(now) && len(h.tokenUses) == 0 {
		h.uses = h.uses[:len(h.uses)-1]
	}
}

// dropOld drops the uses that have left the window. Only the steady clock counts here, since a use that is dropped too early
// would be repeated.
func (h *holding) dropOld(window time.Duration, now time.Time) {
	h.uses = withoutOld(h.uses, window, now)
	h.tokenUses = withoutOld(h.tokenUses, window, now)
}

func withoutOld(times []time.Time, window time.Duration, now time.Time) []time.Time {
	n := 0
	for n < len(times) && now.Sub(times[n]) >= window {
		n++
	}
	return times[n:]
}

// spent returns the number of tokens that were used within the window or still can be.
func (h *holding) spent(window time.Duration, now time.Time) int {
	h.dropOld(window, now)
	n := len(h.tokenUses)
	if elapsed(h.askedAt, now) < tokenValidity {
		n += h.tokens
	}
	return n
}

// state returns the number of slots that the host states to hold, and gives up the others. It has used no more within the window.
func (h *holding) state(total int, window time.Duration, now time.Time) int {
	h.dropOld(window, now)
	h.slots, h.of = h.limit(total, now), min(h.of, total)
	return max(h.slots, len(h.uses))
}

// measure updates the smoothed demand of a process that started at a time. Until it is a window old, the demand is the mean since its
// start; later a rise that chance doesn't explain counts at once.
func (h *holding) measure(window time.Duration, started, now time.Time) {
	age := now.Sub(started)
	if h.countedAt.IsZero() {
		h.countedAt = now.Add(-min(window, age))
	}
	span := now.Sub(h.countedAt)
	if age < window {
		h.demand = h.came * window.Seconds() / max(age, minAge).Seconds()
		h.latest = h.demand
		return
	}
	if span < window/2 {
		return
	}
	h.latest = h.came * window.Seconds() / span.Seconds()
	h.came, h.countedAt = 0, now
	h.demand += demandWeight * (h.latest - h.demand)
	if h.latest > h.demand+chanceDeviations*(1+math.Sqrt(h.demand)) {
		h.demand = h.latest
	}
	if h.demand < minDemand {
		h.demand = 0
	}
}

const (
	// demandWeight is the weight of the newest count in the smoothed demand, and chanceDeviations the number of standard
	// deviations within which a count is explained by chance.
	demandWeight     = 0.25
	chanceDeviations = 2
	// minAge is the least age by which requests are counted as a rate.
	minAge = 500 * time.Millisecond
	// minDemand is the demand, in requests in a window, below which none is stated.
	minDemand = 0.02
)

// A host that got no tokens of an account asks for none for minAskPause, and for twice as long each further time, up to maxAskPause.
const (
	minAskPause = 50 * time.Millisecond
	maxAskPause = 3 * time.Second
)

// setLease takes up a lease in the reply to a report of a time.
func (h *holding) setLease(lease Lease, validity time.Duration, reported time.Time) {
	h.slots, h.of, h.leasedAt, h.validity = lease.Slots, lease.Of, reported, validity
}

// addTokens takes up the reply to a question of a time.
func (h *holding) addTokens(lease Lease, asked, now time.Time) {
	if h.tokens == 0 || elapsed(h.askedAt, now) >= tokenValidity {
		h.tokens, h.askedAt = 0, asked
	}
	h.tokens += lease.Tokens
	if lease.Tokens > 0 {
		h.pause = 0
		return
	}
	h.pause = min(max(2*h.pause, minAskPause), maxAskPause)
	h.shortUntil = now.Add(max(h.pause, lease.RetryAfter))
}

// retryAfter returns the time after which a request is likely to be admitted.
func (h *holding) retryAfter(total int, window time.Duration, now time.Time) time.Duration {
	after := max(h.shortUntil.Sub(now), shortInterval)
	if h.limit(total, now) > 0 && len(h.uses) > 0 {
		after = min(after, max(h.uses[0].Add(window).Sub(now), 0))
	}
	return after
}
