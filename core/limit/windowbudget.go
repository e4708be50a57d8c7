package limit

import (
	"sync"
	"time"
)

// windowBuckets is the number of buckets that work is counted in. The window spans one bucket less, so that the
// count covers all of it although the current bucket is incomplete.
const windowBuckets = 20

// WindowBudget bounds extra work (retries, hedges) to a share of the ordinary work in a sliding time window, plus a
// slack. It is safe for concurrent use.
type WindowBudget struct {
	mu     sync.Mutex
	length time.Duration
	// ordinary and extra count the work of each bucket, which is stored at its number modulo windowBuckets.
	ordinary [windowBuckets]int
	extra    [windowBuckets]int
	// began is the time of the first use. Buckets are numbered by Unix time, so that hosts begin them together, but as the monotonic
	// clock goes on from there: the time of day may jump. bucket is the number of the current bucket.
	began  time.Time
	bucket int64
}

// NewWindowBudget returns a budget over a window of the given length, without any work counted.
func NewWindowBudget(length time.Duration) *WindowBudget {
	return &WindowBudget{
		length: length,
	}
}

// RecordOrdinary counts one unit of ordinary work.
func (w *WindowBudget) RecordOrdinary(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.ordinary[w.bucket%windowBuckets]++
}

// TryExtra counts one unit of extra work if share and slack, the latter in units, permit it, and reports whether they do.
func (w *WindowBudget) TryExtra(now time.Time, share, slack float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.left(now, share, slack) < 1 {
		return false
	}
	w.extra[w.bucket%windowBuckets]++
	return true
}

// Left returns the units of extra work that share and slack permit now.
func (w *WindowBudget) Left(now time.Time, share, slack float64) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.left(now, share, slack)
}

// Most returns the units of extra work that share and slack permit in the whole window.
func (w *WindowBudget) Most(now time.Time, share, slack float64) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	ordinary := 0
	for i := range windowBuckets {
		ordinary += w.ordinary[i]
	}
	return share*float64(ordinary) + slack
}

// left implements Left; the caller holds mu.
func (w *WindowBudget) left(now time.Time, share, slack float64) float64 {
	w.advance(now)
	ordinary, extra := 0, 0
	for i := range windowBuckets {
		ordinary += w.ordinary[i]
		extra += w.extra[i]
	}
	return share*float64(ordinary) + slack - float64(extra)
}

// advance moves to the bucket of now and clears the buckets that have left the window.
func (w *WindowBudget) advance(now time.Time) {
	if w.began.IsZero() {
		w.began = now
	}
	bucket := (w.began.UnixNano() + int64(now.Sub(w.began))) / int64(w.length/(windowBuckets-1))
	if bucket <= w.bucket {
		return
	}
	for b := max(w.bucket+1, bucket-windowBuckets+1); b <= bucket; b++ {
		w.ordinary[b%windowBuckets], w.extra[b%windowBuckets] = 0, 0
	}
	w.bucket = bucket
}
