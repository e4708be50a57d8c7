package relay

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"magnoliaworks/core/member"
	"magnoliaworks/core/route"
)

// TestDelegateBackoffGrows chooses a host once a second while the one ranked first does not answer at all, or answers
// only after ten seconds. A host that keeps failing must be tried less and less often.
func TestDelegateBackoffGrows(t *testing.T) {
	hosts := []member.Member{{ID: "a", DataCentre: "west"}, {ID: "b", DataCentre: "west"}, {ID: "c", DataCentre: "west"}}
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
			chosen := d.choose(hosts, "east", now)
			So(len(chosen), ShouldEqual, 1)
			best := chosen[0]
			failures, last := 0, ""
			for second := range 40 {
				now = now.Add(time.Second)
				chosen := d.choose(hosts, "east", now)
				So(len(chosen), ShouldEqual, 1)
				m := chosen[0]
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

// TestPartitionDividesServicesAmongDataCentres gives three data centres some of the servers, as after the loss of others.
func TestPartitionDividesServicesAmongDataCentres(t *testing.T) {
	west, north, south := member.Member{ID: "w", DataCentre: "west"}, member.Member{ID: "n", DataCentre: "north"}, member.Member{ID: "s", DataCentre: "south"}
	table := &table{replicas: make(map[string][]route.Server)}
	add := func(dataCentre string, services ...string) {
		for _, service := range services {
			table.replicas[service] = append(table.replicas[service], route.Server{ID: service + dataCentre, DataCentre: dataCentre})
		}
	}
	add("west", "a", "b", "c")
	add("north", "c", "d", "e", "f")
	add("south", "a")
	all := []string{"a", "b", "c", "d", "e", "f", "none"}
	cases := []struct {
		name  string
		hosts []member.Member
		want  []part
	}{
		{name: "most first", hosts: []member.Member{west, north, south}, want: []part{
			{host: north, services: []string{"c", "d", "e", "f"}}, {host: west, services: []string{"a", "b"}},
		}},
		{name: "no host in the north", hosts: []member.Member{south, west}, want: []part{
			{host: west, services: []string{"a", "b", "c"}},
		}},
		{name: "no host", want: nil},
	}
	for _, c := range cases {
		Convey("Each service with a server is in one part, and parts are few: "+c.name, t, func() {
			So(table.partition(all, c.hosts), ShouldResemble, c.want)
		})
	}
}
