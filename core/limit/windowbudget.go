package limit

import (
	"sync"
	"time"
)

// windowSteps is the number of steps that a window is counted in.
const windowSteps = 20

// WindowBudget grants extra work as a share of the ordinary work of a sliding time window, plus a fixed slack.
type WindowBudget struct {
	mu   sync.Mutex
	span time.Duration
	// ordinary and extra count the work of each step; step is the present one.
	ordinary [windowSteps]int
	extra    [windowSteps]int
	step     int64
}

// NewWindowBudget returns an empty window of the given length.
func NewWindowBudget(span time.Duration) *WindowBudget {
	return &WindowBudget{
		span: span,
	}
}

// RecordOrdinary records one unit of ordinary work.
func (w *WindowBudget) RecordOrdinary(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.ordinary[w.step%windowSteps]++
}

// TryExtra takes one unit of extra work and reports whether the share and the slack leave room for it.
func (w *WindowBudget) TryExtra(now time.Time, share, slack float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	ordinary, extra := 0, 0
	for i := range windowSteps {
		ordinary += w.ordinary[i]
		extra += w.extra[i]
	}
	if float64(extra+1) > share*float64(ordinary)+slack {
		return false
	}
	w.extra[w.step%windowSteps]++
	return true
}

// advance clears the steps that have left the window.
func (w *WindowBudget) advance(now time.Time) {
	step := now.UnixNano() / int64(w.span/(windowSteps-1))
	if step <= w.step {
		return
	}
	for s := max(w.step+1, step-windowSteps+1); s <= step; s++ {
		w.ordinary[s%windowSteps], w.extra[s%windowSteps] = 0, 0
	}
	w.step = step
}
