package limit

import (
	"sync"
	"time"
)

// windowBuckets is the number of steps that a window is counted in.
const windowBuckets = 20

// WindowBudget grants extra work as a share of the ordinary work of a sliding time window, plus a fixed slack.
type WindowBudget struct {
	mu     sync.Mutex
	length time.Duration
	// ordinary and extra count the work of each step; step is the present one.
	ordinary [windowBuckets]int
	extra    [windowBuckets]int
	bucket   int64
}

// NewWindowBudget returns an empty window of the given length.
func NewWindowBudget(length time.Duration) *WindowBudget {
	return &WindowBudget{
		length: length,
	}
}

// RecordOrdinary records one unit of ordinary work.
func (w *WindowBudget) RecordOrdinary(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.ordinary[w.bucket%windowBuckets]++
}

// TryExtra takes one unit of extra work and reports whether the share and the slack leave room for it.
func (w *WindowBudget) TryExtra(now time.Time, share, slack float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	ordinary, extra := 0, 0
	for i := range windowBuckets {
		ordinary += w.ordinary[i]
		extra += w.extra[i]
	}
	if float64(extra+1) > share*float64(ordinary)+slack {
		return false
	}
	w.extra[w.bucket%windowBuckets]++
	return true
}

// advance clears the steps that have left the window.
func (w *WindowBudget) advance(now time.Time) {
	bucket := now.UnixNano() / int64(w.length/(windowBuckets-1))
	if bucket <= w.bucket {
		return
	}
	for b := max(w.bucket+1, bucket-windowBuckets+1); b <= bucket; b++ {
		w.ordinary[b%windowBuckets], w.extra[b%windowBuckets] = 0, 0
	}
	w.bucket = bucket
}
