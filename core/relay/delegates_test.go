package relay

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"magnoliaworks/core/member"
)

// TestDelegateBackoffGrows chooses a host once a second while the one ranked first does not answer at all, or answers
// only after ten seconds. A host that keeps failing must be tried less and less often.
func TestDelegateBackoffGrows(t *testing.T) {
	hosts := []member.Member{{ID: "a", DataCentre: "west"}, {ID: "b", DataCentre: "west"}, {ID: "c", DataCentre: "west"}}
	anywhere := func(string) bool { return true }
	cases := []struct {
		name string
		// answersAt is the second from which the host answers; 0 means never. maxFailures bounds its failed calls.
		answersAt   int
		maxFailures int
	}{
		{name: "never answers", maxFailures: 5},
		{name: "answers after ten seconds", answersAt: 10, maxFailures: 3},
	}
	for _, c := range cases {
		Convey("A host that does not answer is rarely chosen, and is first again once it answers: "+c.name, t, func() {
			d := newDelegates("self")
			now := time.Unix(1_000_000, 0)
			best, ok := d.choose(hosts, now, anywhere)
			So(ok, ShouldBeTrue)
			failures, last := 0, ""
			for second := range 40 {
				now = now.Add(time.Second)
				m, ok := d.choose(hosts, now, anywhere)
				So(ok, ShouldBeTrue)
				last = m.ID
				switch {
				case m.ID != best.ID:
				case c.answersAt > 0 && second >= c.answersAt:
					d.recordSuccess(m.ID)
				default:
					d.recordFailure(m.ID, now)
					failures++
				}
			}
			So(failures, ShouldBeLessThanOrEqualTo, c.maxFailures)
			So(last == best.ID, ShouldEqual, c.answersAt > 0)
		})
	}
}
