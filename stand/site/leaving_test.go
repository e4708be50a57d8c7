package site

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// loadAll sends n requests of a route to each of the first hosts at the same time, one every 10 ms, and returns how they ended.
func (r *rig) loadAll(hosts int, route string, n int) []tally {
	return r.loadAt(hosts, route, n, 10*time.Millisecond)
}

// loadAt is like loadAll, with one request every gap.
func (r *rig) loadAt(hosts int, route string, n int, gap time.Duration) []tally {
	results := make(chan tally, hosts)
	for i := range hosts {
		r.tasks.Go(func() error {
			results <- r.load(i, route, n, gap)
			return nil
		})
	}
	tallies := make([]tally, hosts)
	for i := range tallies {
		tallies[i] = <-results
	}
	return tallies
}

// TestServersThatSayTheyLeaveGetNothingNew lets servers say in their replies that they leave, while their entries in the store
// still say that they are ready. A host heeds that at once; a new start at the same address gets requests again.
func TestServersThatSayTheyLeaveGetNothingNew(t *testing.T) {
	const n = 150
	cases := []struct {
		name  string
		route string
		// leaving are the servers that leave; in fault they reply with that fault.
		leaving []string
		fault   ReplyFault
	}{
		{name: "in successes", route: oneHost, leaving: []string{"desk-0", "desk-1"}},
		{name: "in failures", route: oneHost, leaving: []string{"desk-0", "desk-1"}, fault: Failing},
		{name: "in refusals", route: onceHost, leaving: []string{"desk-0", "desk-1"}, fault: Shedding},
		{name: "of shards", route: searchHost, leaving: []string{"sh-a-0", "sh-b-1", "sh-c-2"}},
		{name: "in refusals of shards", route: searchHost, leaving: []string{"sh-a-0", "sh-b-1", "sh-c-2"}, fault: Shedding},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var violations map[string]int
			var tallies []tally
			before, after, later := 0, 0, 0
			inRig(t, func(r *rig) {
				r.limitConnections()
				r.add("host-x", "south")
				time.Sleep(2 * settleTime)
				first := c.leaving[0]
				for _, id := range c.leaving {
					r.site.Server(id).Set(WithReplyFault(c.fault, 1))
					r.site.Server(id).Set(WithLeaving(true))
				}
				r.loadAll(4, c.route, n)
				before = r.site.ExecutionLog.ArrivalsAt(first)
				tallies = r.loadAll(4, c.route, n)
				after = r.site.ExecutionLog.ArrivalsAt(first) - before
				violations = r.site.ExecutionLog.Violations()
				for _, id := range c.leaving {
					r.site.Server(id).Set(WithReplyFault(NoFault, 0))
					r.site.Server(id).Set(WithLeaving(false))
					r.site.Reboot(id)
				}
				time.Sleep(2 * time.Second)
				r.loadAll(4, c.route, n)
				later = r.site.ExecutionLog.ArrivalsAt(first) - before - after
			})
			Convey("Each host sends them nothing once it was told, all requests are answered, and a new start is used", t, func() {
				So(before, ShouldBeGreaterThan, 0)
				So(after, ShouldEqual, 0)
				So(violations, ShouldBeEmpty)
				for _, result := range tallies {
					So(result.incorrect, ShouldBeEmpty)
					So(result.statuses[200], ShouldEqual, n)
				}
				So(later, ShouldBeGreaterThan, 0)
			})
		})
	}
}
