package route

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"

	"magnoliaworks/core/limit"
	"magnoliaworks/core/member"
	"magnoliaworks/core/query"
	"magnoliaworks/core/trace"
)

const (
	testKind   = "search"
	testMedian = 10 * time.Millisecond
)

// observe gives a picker the times of a server's replies.
func observe(p *Picker, server string, times ...time.Duration) {
	for _, took := range times {
		p.Started(server, testKind)
		p.Finished(server, testKind, took, query.Done{})
	}
}

func repeated(took time.Duration, n int) []time.Duration {
	times := make([]time.Duration, n)
	for i := range times {
		times[i] = took
	}
	return times
}

func candidate(id, dataCentre string) Server {
	return Server{
		ID:         id,
		DataCentre: dataCentre,
		Slots:      4,
		Homes:      []member.Member{{ID: "h"}},
	}
}

// TestPickBetweenNearAndFar chooses between a near and a far server of which one is known.
func TestPickBetweenNearAndFar(t *testing.T) {
	cases := []struct {
		name string
		near []time.Duration
		far  []time.Duration
		want string
	}{
		{name: "both unknown", want: "near"},
		{name: "near as usual, far unknown", near: repeated(testMedian, 4), want: "near"},
		{name: "near a little slow, far unknown", near: repeated(2*testMedian, 4), want: "near"},
		{name: "near slow, far unknown", near: repeated(6*testMedian, 6), want: "far"},
		{name: "near slow, far as usual", near: repeated(6*testMedian, 6), far: repeated(testMedian, 4), want: "far"},
		{name: "both slow", near: repeated(6*testMedian, 6), far: repeated(6*testMedian, 6), want: "near"},
	}
	for _, c := range cases {
		Convey("The far server is chosen when the near one is known to be slow and the far one is not: "+c.name, t, func() {
			p := NewPicker(PolicyFull, "east", limit.NewBudget(1, 20), trace.NewJournal(hclog.NewNullLogger()))
			observe(p, "others", repeated(testMedian, 200)...)
			observe(p, "near", c.near...)
			observe(p, "far", c.far...)
			s, ok := p.Pick(Candidates{
				Kind:     testKind,
				Servers:  []Server{candidate("near", "east"), candidate("far", "west")},
				Eligible: func(string) bool { return true },
			})
			So(ok, ShouldBeTrue)
			So(s.ID, ShouldEqual, c.want)
		})
	}
}

// TestPickKeepsToThePreferredFarServer chooses among far servers with a host's order of preference.
func TestPickKeepsToThePreferredFarServer(t *testing.T) {
	const order = 7
	first, second := "far-1", "far-2"
	if preferenceRank(order, second) < preferenceRank(order, first) {
		first, second = second, first
	}
	cases := []struct {
		name  string
		times []time.Duration
		want  string
	}{
		{name: "both unknown", want: first},
		{name: "the preferred takes its way longer than a near one", times: repeated(3*testMedian, 4), want: first},
		{name: "the preferred is slow", times: repeated(6*testMedian, 8), want: second},
	}
	for _, c := range cases {
		Convey("An unknown server is taken only when the preferred one is slow: "+c.name, t, func() {
			p := NewPicker(PolicyFull, "east", limit.NewBudget(1, 20), trace.NewJournal(hclog.NewNullLogger()))
			observe(p, "others", repeated(testMedian, 200)...)
			observe(p, first, c.times...)
			for range 20 {
				s, ok := p.Pick(Candidates{
					Kind:           testKind,
					Servers:        []Server{candidate(first, "west"), candidate(second, "north")},
					PreferenceSeed: order,
					Eligible:       func(string) bool { return true },
				})
				So(ok, ShouldBeTrue)
				So(s.ID, ShouldEqual, c.want)
			}
		})
	}
}

// TestPickAvoidsServersThatFail lets a near server fail some of its calls, beside a far one that is well.
func TestPickAvoidsServersThatFail(t *testing.T) {
	const calls = 12
	cases := []struct {
		name string
		// every is the number of calls of which one fails; 0 means none.
		every int
		took  time.Duration
		want  string
	}{
		{name: "none", took: testMedian, want: "near"},
		{name: "one in twelve", every: 12, took: testMedian, want: "near"},
		{name: "one in two", every: 2, took: testMedian, want: "far"},
		{name: "one in two of a kind that takes long", every: 2, took: 3 * testMedian, want: "far"},
	}
	for _, c := range cases {
		Convey("The near server is left for the far one when it fails often: "+c.name, t, func() {
			p := NewPicker(PolicyFull, "east", limit.NewBudget(1, 20), trace.NewJournal(hclog.NewNullLogger()))
			observe(p, "others", repeated(c.took, 200)...)
			observe(p, "far", repeated(c.took+testMedian, 4)...)
			for i := range calls {
				if c.every > 0 && i%c.every == 0 {
					p.Started("near", testKind)
					p.Finished("near", testKind, c.took, query.Failed{})
					continue
				}
				observe(p, "near", c.took)
			}
			s, ok := p.Pick(Candidates{
				Kind:     testKind,
				Servers:  []Server{candidate("near", "east"), candidate("far", "west")},
				Eligible: func(string) bool { return true },
			})
			So(ok, ShouldBeTrue)
			So(s.ID, ShouldEqual, c.want)
		})
	}
}
