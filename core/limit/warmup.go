package limit

import "time"

const (
	// coldLimit is the concurrency of a backend server of which nothing is known.
	coldLimit = 1
	// coldSuccesses is the number of good replies before the limit grows for the first time.
	coldSuccesses = 24
	// growSuccesses is the number of good replies, for each unit of the limit, between later growths.
	growSuccesses = 4
	// slowFactor is the multiple of the usual service time above which a reply does not count as good.
	slowFactor = 3
	// coldFactor is the multiple of the usual service time at which a run of replies means a cold server.
	coldFactor = 4
	// coldSlowReplies is the number of slow replies in a row that mean a cold server.
	coldSlowReplies = 4
	// baselineDriftDivisor divides the usual service time for its growth at each slow reply of a server at the cold limit,
	// so that a server that stays slower for good grows again.
	baselineDriftDivisor = 64
)

// Warmup is the concurrency limit of one backend server as it grows from a cold start.
// It is not safe for concurrent use.
type Warmup struct {
	limit       int
	ceiling     int
	successes   int
	slowReplies int
	// baseline is the smoothed service time of good replies at full warmth; 0 until known.
	baseline time.Duration
}

// NewWarmup returns a cold limit that may grow to ceiling.
func NewWarmup(ceiling int) Warmup {
	return Warmup{
		limit:   coldLimit,
		ceiling: max(ceiling, coldLimit),
	}
}

// Limit returns the permitted number of outstanding requests.
func (w *Warmup) Limit() int { return w.limit }

// AtCeiling reports whether the limit has reached its ceiling.
func (w *Warmup) AtCeiling() bool { return w.limit >= w.ceiling }

// BaselineServiceTime returns the usual service time, or 0 while it is not known.
func (w *Warmup) BaselineServiceTime() time.Duration { return w.baseline }

// Reset returns to the cold limit and keeps the memory of the usual service time.
func (w *Warmup) Reset() {
	w.limit = coldLimit
	w.successes = 0
	w.slowReplies = 0
}

// Success records a good reply and grows the limit when enough of them were fast.
// It returns true when the reply shows that the server has turned cold.
func (w *Warmup) Success(serviceTime time.Duration) (cold bool) {
	if w.baseline > 0 && serviceTime > slowFactor*w.baseline {
		return w.recordSlow(serviceTime)
	}
	w.slowReplies = 0
	if w.AtCeiling() {
		w.updateBaseline(serviceTime)
		return false
	}
	w.successes++
	if w.successes < w.requiredSuccesses() {
		return false
	}
	w.successes = 0
	w.limit++
	return false
}

// Shed records a refusal by a full server and lowers the limit by one.
func (w *Warmup) Shed() {
	w.limit = max(w.limit-1, coldLimit)
	w.successes = 0
}

func (w *Warmup) requiredSuccesses() int {
	if w.limit == coldLimit {
		return coldSuccesses
	}
	return growSuccesses * w.limit
}

func (w *Warmup) recordSlow(serviceTime time.Duration) bool {
	if serviceTime < coldFactor*w.baseline {
		return false
	}
	if w.limit == coldLimit {
		w.baseline += w.baseline / baselineDriftDivisor
	}
	w.slowReplies++
	if w.slowReplies < coldSlowReplies {
		return false
	}
	wasWarm := w.limit > coldLimit
	w.Reset()
	return wasWarm
}

func (w *Warmup) updateBaseline(serviceTime time.Duration) {
	if w.baseline == 0 {
		w.baseline = serviceTime
		return
	}
	w.baseline += (serviceTime - w.baseline) / 16
}
