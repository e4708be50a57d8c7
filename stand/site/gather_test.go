package site

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// limitConnections allows each server as many connections as the rig has hosts now, plus one for a host that joins.
func (r *rig) limitConnections() {
	for i := range r.site.Config.Services {
		r.site.Config.Services[i].MaxConnections = len(r.hosts) + 1
	}
	r.site.Apply()
}

// TestHostsOfOtherDataCentresGather sends searches to a host in a data centre without replicas of some or all shards.
// The cases vary the connection limits and the state of the servers and of the hosts of the other data centres.
func TestHostsOfOtherDataCentresGather(t *testing.T) {
	const n = 100
	cases := []struct {
		name   string
		centre string
		// least and sends bound the messages that the host sends to servers itself; answered is the least number of 200 answers.
		least, sends, answered int
		// spare is set when the connection limits of the servers suffice for all hosts.
		spare bool
		fault func(r *rig)
	}{
		{name: "healthy, no replica", centre: "south", sends: 0, answered: n},
		{name: "connections to spare", centre: "south", spare: true, least: 4 * n, sends: 5 * n, answered: n},
		{name: "healthy, some replicas", centre: "east", sends: n + n/10, answered: n},
		{name: "servers refuse", centre: "south", sends: 2 * n, answered: n * 9 / 10, fault: func(r *rig) {
			for _, server := range r.site.servers {
				server.Set(WithReplyFault(Shedding, 0.1))
			}
		}},
		{name: "servers reply 503 after they ran", centre: "south", sends: 2 * n, answered: n * 9 / 10, fault: func(r *rig) {
			for _, server := range r.site.servers {
				server.Set(WithReplyFault(Unmarked503, 0.1))
			}
		}},
		{name: "servers pause", centre: "south", sends: n, answered: n * 9 / 10, fault: func(r *rig) {
			for _, id := range []string{"sh-a-1", "sh-b-1", "sh-c-2"} {
				r.site.Server(id).Set(WithPause(2 * time.Second))
			}
		}},
		{name: "two hosts paused", centre: "south", sends: 4 * n, answered: n * 9 / 10, fault: func(r *rig) {
			r.site.Network.Hold("host-0", true)
			r.site.Network.Hold("host-1", true)
		}},
		{name: "all other hosts stop", centre: "south", sends: 5 * n, answered: n, fault: func(r *rig) {
			for i := range DataCentres {
				r.leave(i)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var result tally
			sent, runs := 0, 0
			inRig(t, func(r *rig) {
				for _, id := range []string{"sh-a-0", "sh-b-0", "sh-c-0"} {
					r.site.Drain(id, false)
				}
				if !c.spare {
					r.limitConnections()
				}
				r.add("host-x", c.centre)
				time.Sleep(2 * settleTime)
				if c.fault != nil {
					c.fault(r)
				}
				before := r.site.ExecutionLog.Sent("host-x")
				result = r.load(3, searchHost, n, 20*time.Millisecond)
				sent = r.site.ExecutionLog.Sent("host-x") - before
				runs = r.site.ExecutionLog.MostRuns()
				r.site.Network.Hold("host-0", false)
				r.site.Network.Hold("host-1", false)
			})
			Convey("Its answers are correct, it leaves the shards without local replicas to others, and no request runs too often", t, func() {
				So(result.incorrect, ShouldBeEmpty)
				So(result.statuses[200], ShouldBeGreaterThanOrEqualTo, c.answered)
				So(sent, ShouldBeGreaterThanOrEqualTo, c.least)
				So(sent, ShouldBeLessThanOrEqualTo, c.sends)
				So(runs, ShouldBeLessThanOrEqualTo, 2)
			})
		})
	}
}

// TestGatherWaitsForMinCoverage makes servers silent or slow. The gathering host must answer without a silent shard
// as soon as the replies reach the minimum coverage, and must wait for slow ones that it needs.
func TestGatherWaitsForMinCoverage(t *testing.T) {
	const n = 60
	cases := []struct {
		name    string
		change  func(r *rig)
		gap     time.Duration
		partial int
		slowest time.Duration
	}{
		{name: "one shard is silent", gap: 20 * time.Millisecond, partial: n, slowest: 100 * time.Millisecond, change: func(r *rig) {
			for _, id := range []string{"sh-a-0", "sh-a-1", "sh-a-2"} {
				r.site.Server(id).Set(WithPause(time.Minute))
			}
		}},
		{name: "all shards are slow", gap: 400 * time.Millisecond, slowest: time.Second, change: func(r *rig) {
			for _, server := range r.site.servers {
				server.Set(WithServiceTime(300 * time.Millisecond))
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var result tally
			inRig(t, func(r *rig) {
				r.limitConnections()
				r.add("host-x", "south")
				time.Sleep(2 * settleTime)
				r.load(3, searchHost, n, 20*time.Millisecond)
				c.change(r)
				result = r.load(3, searchHost, n, c.gap)
			})
			Convey("Answers reach the minimum coverage, and within the objective where the replies arrive in time", t, func() {
				So(result.incorrect, ShouldBeEmpty)
				So(result.statuses[200], ShouldEqual, n)
				So(result.partial, ShouldBeGreaterThanOrEqualTo, c.partial)
				So(result.slowest, ShouldBeLessThanOrEqualTo, c.slowest)
			})
		})
	}
}

// TestDrainingHostsFinishGathers drains the hosts that gather for another one while servers are slow.
func TestDrainingHostsFinishGathers(t *testing.T) {
	var result tally
	inRig(t, func(r *rig) {
		r.limitConnections()
		r.add("host-x", "south")
		time.Sleep(2 * settleTime)
		for _, server := range r.site.servers {
			server.Set(WithServiceTime(600 * time.Millisecond))
		}
		r.tasks.Go(func() error {
			time.Sleep(100 * time.Millisecond)
			for i := range DataCentres {
				r.hosts[i].stop()
			}
			return nil
		})
		result = r.load(3, searchHost, 1, time.Second)
	})
	Convey("The search in progress is answered", t, func() {
		So(result.incorrect, ShouldBeEmpty)
		So(result.statuses[200], ShouldEqual, 1)
	})
}
