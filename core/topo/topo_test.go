package topo

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestMatchPrefersLongestPrefix guards against requests that get the route of a shorter prefix or of another host,
// or none because of the port or the case of the Host header.
func TestMatchPrefersLongestPrefix(t *testing.T) {
	route := func(name, host, prefix string) *Route {
		return &Route{
			Name:   name,
			Host:   host,
			Prefix: prefix,
		}
	}
	config := NewConfig(3, []*Route{
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
		{name: "path without the slash of the prefix", host: "a.example", path: "/x", want: "root"},
		{name: "port and case of the host are ignored", host: "A.Example:8080", path: "/x/y/", want: "long"},
		{name: "case of the route's host is ignored", host: "b.example", path: "/only/1", want: "other"},
		{name: "no prefix matches", host: "b.example", path: "/", want: ""},
		{name: "unknown host", host: "c.example", path: "/", want: ""},
		{name: "encoded slash does not match", host: "b.example", path: "/only%2F1", want: ""},
	}
	for _, c := range cases {
		Convey("Match returns the route of the host with the longest prefix: "+c.name, t, func() {
			found, ok := config.Match(c.host, c.path)
			So(ok, ShouldEqual, c.want != "")
			if ok {
				So(found.Name, ShouldEqual, c.want)
			}
		})
	}
}

// TestServiceAtFollowsWeights guards against services that get more or less than their share of a traffic split: it
// looks up evenly spaced positions.
func TestServiceAtFollowsWeights(t *testing.T) {
	Convey("Each service gets its share, and position 1 belongs to the last", t, func() {
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

// TestStateKeepsNewestConfig guards against an older configuration that replaces a newer one when they arrive out of
// order, and against replicas that are draining or in an evacuated data centre.
func TestStateKeepsNewestConfig(t *testing.T) {
	Convey("Only a newer configuration replaces the current one, and only eligible servers are replicas", t, func() {
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
