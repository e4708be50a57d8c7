package relay

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"magnoliaworks/core/member"
)

// TestDelegateBackoffGrows asks for a host once a second while the one ranked first never answers.
func TestDelegateBackoffGrows(t *testing.T) {
	hosts := []member.Member{{ID: "a", DataCentre: "west"}, {ID: "b", DataCentre: "west"}, {ID: "c", DataCentre: "west"}}
	anywhere := func(string) bool { return true }
	cases := []struct {
		name string
		// answersAt is the second from which the host answers; 0 means never.
		answersAt int
		most      int
	}{
		{name: "never answers", most: 5},
		{name: "answers after ten seconds", answersAt: 10, most: 3},
	}
	for _, c := range cases {
		Convey("A silent host is asked only now and then, and is first again once it answers: "+c.name, t, func() {
			h := newDelegates("self")
			now := time.Unix(1_000_000, 0)
			best, ok := h.choose(hosts, now, anywhere)
			So(ok, ShouldBeTrue)
			silent, last := 0, ""
			for second := range 40 {
				now = now.Add(time.Second)
				m, ok := h.choose(hosts, now, anywhere)
				So(ok, ShouldBeTrue)
				last = m.ID
				switch {
				case m.ID != best.ID:
				case c.answersAt > 0 && second >= c.answersAt:
					h.recordSuccess(m.ID)
				default:
					h.recordFailure(m.ID, now)
					silent++
				}
			}
			So(silent, ShouldBeLessThanOrEqualTo, c.most)
			So(last == best.ID, ShouldEqual, c.answersAt > 0)
		})
	}
}
