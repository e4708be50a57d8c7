package watch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"magnoliaworks/core/topo"
)

// TestRemovedServersAreRememberedForATime compares registrations with that of a removed server, and removes more servers than are
// remembered.
func TestRemovedServersAreRememberedForATime(t *testing.T) {
	registration := func(incarnation int64, sequence uint64) Registration {
		return Registration{
			Server: topo.Server{
				Incarnation: incarnation,
			},
			Sequence: sequence,
		}
	}
	now := time.Unix(1_000_000, 0)
	cases := []struct {
		name string
		r    Registration
		age  time.Duration
		want bool
	}{
		{name: "written before", r: registration(5, 6), want: true},
		{name: "the same once more", r: registration(5, 7), want: true},
		{name: "written after", r: registration(5, 8)},
		{name: "earlier start", r: registration(4, 9), want: true},
		{name: "later start", r: registration(6, 1)},
		{name: "removed long ago", r: registration(5, 6), age: removalTTL + time.Second},
	}
	for _, c := range cases {
		Convey("Only what was written before the removal is late: "+c.name, t, func() {
			removed := make(removedServers)
			removed.put("s", registration(5, 7), now)
			So(removed.isLate("s", c.r, now.Add(c.age)), ShouldEqual, c.want)
			So(removed.isLate("other", c.r, now.Add(c.age)), ShouldBeFalse)
		})
	}
	Convey("Their number is bounded, and they expire", t, func() {
		removed := make(removedServers)
		for i := range maxRemovals + 10 {
			removed.put(fmt.Sprint(i), registration(5, 7), now)
		}
		So(removed, ShouldHaveLength, maxRemovals)
		removed.expire(now.Add(removalTTL + time.Second))
		So(removed, ShouldBeEmpty)
	})
}
