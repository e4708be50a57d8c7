package topo

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestMatchTakesTheLongestPrefix looks up routes by host and path.
func TestMatchTakesTheLongestPrefix(t *testing.T) {
	route := func(name, host, prefix string) *Route {
		return &Route{
			Name:   name,
			Host:   host,
			Prefix: prefix,
		}
	}
	plan := NewConfig(3, []*Route{
		route("root", "a.example", "/"),
		route("long", "a.example", "/x/y/"),
		route("short", "a.example", "/x/"),
		route("other", "B.example", "/only/"),
	}, nil, Limits{})
	cases := []struct {
		name, host, path, want string
	}{
		{name: "longest", host: "a.example", path: "/x/y/z", want: "long"},
		{name: "shorter", host: "a.example", path: "/x/z", want: "short"},
		{name: "prefix without its slash", host: "a.example", path: "/x", want: "root"},
		{name: "port and case", host: "A.Example:8080", path: "/x/y/", want: "long"},
		{name: "case of the route", host: "b.example", path: "/only/1", want: "other"},
		{name: "no prefix", host: "b.example", path: "/", want: ""},
		{name: "no host", host: "c.example", path: "/", want: ""},
		{name: "encoded slash is no slash", host: "b.example", path: "/only%2F1", want: ""},
	}
	for _, c := range cases {
		Convey("A path finds its route: "+c.name, t, func() {
			found, ok := plan.Match(c.host, c.path)
			So(ok, ShouldEqual, c.want != "")
			if ok {
				So(found.Name, ShouldEqual, c.want)
			}
		})
	}
}

// TestShareFollowsWeights walks over the positions of a split.
func TestShareFollowsWeights(t *testing.T) {
	Convey("Each part gets its share, and the end belongs to the last", t, func() {
		s := TrafficSplit{
			Services: []WeightedService{{Service: "a", Weight: 3}, {Service: "zero"}, {Service: "b", Weight: 1}},
		}
		count := make(map[string]int)
		for i := range 1000 {
			count[s.ServiceAt(float64(i)/1000)]++
		}
		So(count, ShouldResemble, map[string]int{"a": 750, "b": 250})
		So(s.ServiceAt(1), ShouldEqual, "b")
	})
}

// TestStateNeverGoesBack offers plans in any order.
func TestStateNeverGoesBack(t *testing.T) {
	Convey("Only a newer plan comes into force, and servers that may not get work are no replicas", t, func() {
		state := &State{}
		for _, version := range []uint64{4, 2, 4, 9, 7} {
			state = state.WithConfig(NewConfig(version, nil, nil, Limits{}))
		}
		So(state.Config().Version, ShouldEqual, uint64(9))
		state = state.WithServers(map[string]Server{
			"s-1": {ID: "s-1", Service: "a", DataCentre: "east"},
			"s-2": {ID: "s-2", Service: "a", DataCentre: "west"},
			"s-3": {ID: "s-3", Service: "a", DataCentre: "west", Draining: true},
		}).WithEvacuated(map[string]bool{"east": true})
		So(len(state.Replicas("a")), ShouldEqual, 1)
		So(state.Eligible("s-2"), ShouldBeTrue)
		So(state.Eligible("s-3"), ShouldBeFalse)
		So(state.Eligible("s-1"), ShouldBeFalse)
		So(state.Eligible("s-9"), ShouldBeFalse)
		So(state.WithEvacuated(nil).Eligible("s-1"), ShouldBeTrue)
		So(Server{ColdUntil: time.Unix(5, 0)}.Cold(time.Unix(4, 0)), ShouldBeTrue)
	})
}
