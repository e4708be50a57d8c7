package limit

import "time"

const (
	// coldLimit is the concurrency limit of a cold or unknown backend server.
	coldLimit = 1
	// coldSuccesses is the number of fast replies before the first increase of the limit.
	coldSuccesses = 24
	// growSuccesses is the number of fast replies per unit of the limit before each further increase.
	growSuccesses = 4
	// slowFactor is the multiple of the baseline above which a reply does not count as fast.
	slowFactor = 3
	// coldFactor is the multiple of the baseline from which a reply counts as cold, that is, typical of a cold server.
	coldFactor = 4
	// coldReplyThreshold is the number of cold replies, without a fast one between them, that mean a cold server.
	coldReplyThreshold = 4
	// baselineDriftDivisor is the inverse of the share by which the baseline grows at each cold reply at the cold limit,
	// so that the limit of a server that has become slower for good can grow again.
	baselineDriftDivisor = 64
)

// Warmup is the concurrency limit of one backend server, which grows with fast replies after a cold start.
// It is not safe for concurrent use.
type Warmup struct {
	limit   int
	ceiling int
	// successes counts the fast replies since the last change of the limit.
	successes int
	// coldReplies counts the cold replies since the last fast one.
	coldReplies int
	// baseline is the smoothed service time of fast replies at the ceiling; 0 until known.
	baseline time.Duration
}

// NewWarmup returns a limit that starts cold and grows up to ceiling.
func NewWarmup(ceiling int) Warmup {
	return Warmup{
		limit:   coldLimit,
		ceiling: max(ceiling, coldLimit),
	}
}

// Limit returns the largest permitted number of outstanding requests.
func (w *Warmup) Limit() int { return w.limit }

// AtCeiling reports whether the limit has reached its ceiling.
func (w *Warmup) AtCeiling() bool { return w.limit >= w.ceiling }

// BaselineServiceTime returns the smoothed service time of the warm server, or 0 while it is not known.
func (w *Warmup) BaselineServiceTime() time.Duration { return w.baseline }

// Reset returns to the cold limit and keeps the baseline.
func (w *Warmup) Reset() {
	w.limit = coldLimit
	w.successes = 0
	w.coldReplies = 0
}

// Success records the service time of a successful reply and increases the limit after enough fast ones.
// It returns true when the reply shows that a warm server has become cold.
func (w *Warmup) Success(serviceTime time.Duration) (cold bool) {
	if w.baseline > 0 && serviceTime > slowFactor*w.baseline {
		return w.recordSlow(serviceTime)
	}
	w.coldReplies = 0
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

// Shed records a rejection by an overloaded server and lowers the limit by one.
func (w *Warmup) Shed() {
	w.limit = max(w.limit-1, coldLimit)
	w.successes = 0
}

// requiredSuccesses returns the number of fast replies before the next increase of the limit.
func (w *Warmup) requiredSuccesses() int {
	if w.limit == coldLimit {
		return coldSuccesses
	}
	return growSuccesses * w.limit
}

// recordSlow records a reply that was not fast and returns true when it shows that a warm server has become cold.
func (w *Warmup) recordSlow(serviceTime time.Duration) bool {
	if serviceTime < coldFactor*w.baseline {
		return false
	}
	if w.limit == coldLimit {
		w.baseline += w.baseline / baselineDriftDivisor
	}
	w.coldReplies++
	if w.coldReplies < coldReplyThreshold {
		return false
	}
	wasWarm := w.limit > coldLimit
	w.Reset()
	return wasWarm
}

// updateBaseline adds a service time to the baseline with the weight 1/16.
func (w *Warmup) updateBaseline(serviceTime time.Duration) {
	if w.baseline == 0 {
		w.baseline = serviceTime
		return
	}
	w.baseline += (serviceTime - w.baseline) / 16
}
