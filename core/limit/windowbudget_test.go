package limit

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestWindowBudgetBoundsExtraWorkInAnyWindow records ordinary work and requests extra work every 100 ms, and checks the
// bound at every step. It guards against a budget that permits more than share and slack in a window that lies across
// buckets. Ordinary work is counted over one bucket more than the window, which the check allows for.
func TestWindowBudgetBoundsExtraWorkInAnyWindow(t *testing.T) {
	const window = 10 * time.Second
	cases := []struct {
		name          string
		ordinary      int
		ordinaryUntil time.Duration
		share         float64
		slack         float64
	}{
		{name: "steady", ordinary: 10, share: 0.2, slack: 5},
		{name: "none", ordinary: 0, share: 0.2, slack: 3},
		{name: "stops", ordinary: 20, ordinaryUntil: 15 * time.Second, share: 0.2, slack: 2},
		{name: "no slack", ordinary: 5, share: 0.1, slack: 0},
	}
	for _, c := range cases {
		Convey("The extra work of no window exceeds share and slack: "+c.name, t, func() {
			w := NewWindowBudget(window)
			var ordinary, granted []time.Time
			start := time.Unix(1000, 0)
			for at := start; at.Before(start.Add(40 * time.Second)); at = at.Add(100 * time.Millisecond) {
				if c.ordinaryUntil == 0 || at.Sub(start) < c.ordinaryUntil {
					for range c.ordinary {
						w.RecordOrdinary(at)
						ordinary = append(ordinary, at)
					}
				}
				for range 10 {
					if w.TryExtra(at, c.share, c.slack) {
						granted = append(granted, at)
					}
				}
				extra := countWithin(granted, at, window)
				So(float64(extra), ShouldBeLessThanOrEqualTo, c.share*float64(countWithin(ordinary, at, window+window/10))+c.slack)
			}
			So(len(granted), ShouldBeGreaterThan, 0)
		})
	}
}

// countWithin counts the times within the window that ends at end.
func countWithin(times []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, t := range times {
		if t.After(end.Add(-window)) {
			n++
		}
	}
	return n
}

// TestRateBoundsAnySecond requests a unit every 10 ms. It guards against a rate that admits more than the bound in some
// second, for example across the boundary of two, or that admits too few over time, and checks that CanAllow predicts Allow.
func TestRateBoundsAnySecond(t *testing.T) {
	Convey("No second has more units than the bound, and the rate over 5 s stays near it", t, func() {
		var r Rate
		var admitted []time.Time
		start := time.Unix(1000, 0)
		for at := start; at.Before(start.Add(5 * time.Second)); at = at.Add(10 * time.Millisecond) {
			canAllow := r.CanAllow(at, 3)
			ok := r.Allow(at, 3)
			So(canAllow, ShouldEqual, ok)
			if ok {
				admitted = append(admitted, at)
			}
			So(countWithin(admitted, at, time.Second), ShouldBeLessThanOrEqualTo, 3)
		}
		So(len(admitted), ShouldBeGreaterThanOrEqualTo, 13)
		So(r.Allow(start.Add(time.Hour), 0), ShouldBeFalse)
	})
}
