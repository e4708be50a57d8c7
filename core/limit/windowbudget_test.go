package limit

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestWindowGrantsItsShareInAnySpan feeds ordinary work and asks for extra work at every step; no span gets more than its share.
func TestWindowGrantsItsShareInAnySpan(t *testing.T) {
	const span = 10 * time.Second
	cases := []struct {
		name     string
		ordinary int
		quiet    time.Duration
		share    float64
		slack    float64
	}{
		{name: "steady", ordinary: 10, share: 0.2, slack: 5},
		{name: "none", ordinary: 0, share: 0.2, slack: 3},
		{name: "stops", ordinary: 20, quiet: 15 * time.Second, share: 0.2, slack: 2},
		{name: "no slack", ordinary: 5, share: 0.1, slack: 0},
	}
	for _, c := range cases {
		Convey("No span exceeds share and slack: "+c.name, t, func() {
			w := NewWindowBudget(span)
			var ordinary, granted []time.Time
			start := time.Unix(1000, 0)
			for at := start; at.Before(start.Add(40 * time.Second)); at = at.Add(100 * time.Millisecond) {
				if c.quiet == 0 || at.Sub(start) < c.quiet {
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
				extra := within(granted, at, span)
				So(float64(extra), ShouldBeLessThanOrEqualTo, c.share*float64(within(ordinary, at, span+span/10))+c.slack)
			}
			So(len(granted), ShouldBeGreaterThan, 0)
		})
	}
}

// within counts the times of the span that ends at a moment.
func within(times []time.Time, end time.Time, span time.Duration) int {
	n := 0
	for _, t := range times {
		if t.After(end.Add(-span)) {
			n++
		}
	}
	return n
}

// TestRateAdmitsItsBoundInAnySecond asks every 10 ms.
func TestRateAdmitsItsBoundInAnySecond(t *testing.T) {
	Convey("No second has more than the bound, and none is wasted for long", t, func() {
		var r Rate
		var taken []time.Time
		start := time.Unix(1000, 0)
		for at := start; at.Before(start.Add(5 * time.Second)); at = at.Add(10 * time.Millisecond) {
			room := r.CanAllow(at, 3)
			ok := r.Allow(at, 3)
			So(room, ShouldEqual, ok)
			if ok {
				taken = append(taken, at)
			}
			So(within(taken, at, time.Second), ShouldBeLessThanOrEqualTo, 3)
		}
		So(len(taken), ShouldBeGreaterThanOrEqualTo, 13)
		So(r.Allow(start.Add(time.Hour), 0), ShouldBeFalse)
	})
}
