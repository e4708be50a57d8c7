package shed

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestHedgesLeaveBudgetWhileCallsAreLost replays calls of which a part brings no reply.
func TestHedgesLeaveBudgetWhileCallsAreLost(t *testing.T) {
	cases := []struct {
		name string
		// every is the number of calls of which one is lost; 0 means none. calm is the time without losses afterwards.
		calls, every int
		calm         time.Duration
		want         float64
	}{
		{name: "no call", want: 1},
		{name: "few calls", calls: 4, every: 2, want: 1},
		{name: "no loss", calls: 100, want: 1},
		{name: "a single loss", calls: 100, every: 100, want: 1},
		{name: "a tenth is lost", calls: 100, every: 10, want: lossyHedgePart},
		{name: "long ago", calls: 100, every: 10, calm: 10 * time.Second, want: 1},
	}
	for _, c := range cases {
		Convey("Hedges may use the whole budget unless calls are lost: "+c.name, t, func() {
			losses, now := &Losses{}, time.Unix(1_000_000, 0)
			for n := range c.calls {
				losses.Observe(c.every > 0 && n%c.every == c.every-1, now)
				now = now.Add(10 * time.Millisecond)
			}
			for range int(c.calm / (10 * time.Millisecond)) {
				losses.Observe(false, now)
				now = now.Add(10 * time.Millisecond)
			}
			So(losses.HedgePart(now), ShouldEqual, c.want)
		})
	}
}
