package site

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// scarce leaves each server one connection for each host of a rig with one more.
func (r *rig) scarce() {
	for i := range r.site.Config.Services {
		r.site.Config.Services[i].MaxConnections = len(r.hosts) + 1
	}
	r.site.Apply()
}

// TestHostsOfOtherCentresGather asks a host of a data centre that lacks replicas of some or all shards.
// The hosts of other data centres are well, lose their links to it, stand still, or end.
func TestHostsOfOtherCentresGather(t *testing.T) {
	const n = 100
	cases := []struct {
		name   string
		centre string
		// least and sends bound the messages that the host sends to servers itself; answered is the least number of good answers.
		least, sends, answered int
		// spare is set when each server has connections for all hosts.
		spare   bool
		trouble func(r *rig)
	}{
		{name: "well, no replica", centre: "south", sends: 0, answered: n},
		{name: "connections to spare", centre: "south", spare: true, least: 4 * n, sends: 5 * n, answered: n},
		{name: "well, some replicas", centre: "east", sends: n + n/10, answered: n},
		{name: "servers refuse", centre: "south", sends: 2 * n, answered: n * 9 / 10, trouble: func(r *rig) {
			for _, server := range r.site.servers {
				server.Set(WithReplyFault(Shedding, 0.1))
			}
		}},
		{name: "servers pause", centre: "south", sends: n, answered: n * 9 / 10, trouble: func(r *rig) {
			for _, id := range []string{"sh-a-1", "sh-b-1", "sh-c-2"} {
				r.site.Server(id).Set(WithPause(2 * time.Second))
			}
		}},
		{name: "two stand still", centre: "south", sends: 4 * n, answered: n * 9 / 10, trouble: func(r *rig) {
			r.site.Network.Hold("host-0", true)
			r.site.Network.Hold("host-1", true)
		}},
		{name: "all end", centre: "south", sends: 5 * n, answered: n, trouble: func(r *rig) {
			for i := range DataCentres {
				r.leave(i)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var ended tally
			sent, runs := 0, 0
			inRig(t, func(r *rig) {
				for _, id := range []string{"sh-a-0", "sh-b-0", "sh-c-0"} {
					r.site.Drain(id, false)
				}
				if !c.spare {
					r.scarce()
				}
				r.add("host-x", c.centre)
				time.Sleep(2 * warmTime)
				if c.trouble != nil {
					c.trouble(r)
				}
				before := r.site.ExecutionLog.Sent("host-x")
				ended = r.load(3, searchHost, n, 20*time.Millisecond)
				sent = r.site.ExecutionLog.Sent("host-x") - before
				runs = r.site.ExecutionLog.MostRuns()
				r.site.Network.Hold("host-0", false)
				r.site.Network.Hold("host-1", false)
			})
			Convey("Its answers are true and come, it leaves the lacking shards to others, and no request runs too often", t, func() {
				So(ended.untrue, ShouldBeEmpty)
				So(ended.statuses[200], ShouldBeGreaterThanOrEqualTo, c.answered)
				So(sent, ShouldBeGreaterThanOrEqualTo, c.least)
				So(sent, ShouldBeLessThanOrEqualTo, c.sends)
				So(runs, ShouldBeLessThanOrEqualTo, 2)
			})
		})
	}
}

// TestBundlesWaitForWhatIsNeeded lets servers be silent or slow, so that the gathering host answers without some parts or waits for them.
func TestBundlesWaitForWhatIsNeeded(t *testing.T) {
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
			var ended tally
			inRig(t, func(r *rig) {
				r.scarce()
				r.add("host-x", "south")
				time.Sleep(2 * warmTime)
				r.load(3, searchHost, n, 20*time.Millisecond)
				c.change(r)
				ended = r.load(3, searchHost, n, c.gap)
			})
			Convey("The answers come with what the least coverage needs, and within the objective where that is in", t, func() {
				So(ended.untrue, ShouldBeEmpty)
				So(ended.statuses[200], ShouldEqual, n)
				So(ended.partial, ShouldBeGreaterThanOrEqualTo, c.partial)
				So(ended.slowest, ShouldBeLessThanOrEqualTo, c.slowest)
			})
		})
	}
}

// TestLeavingHostsFinishBundles ends the hosts that gather for another one while servers are slow.
func TestLeavingHostsFinishBundles(t *testing.T) {
	var ended tally
	inRig(t, func(r *rig) {
		r.scarce()
		r.add("host-x", "south")
		time.Sleep(2 * warmTime)
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
		ended = r.load(3, searchHost, 1, time.Second)
	})
	Convey("The search that was in progress has its answer", t, func() {
		So(ended.untrue, ShouldBeEmpty)
		So(ended.statuses[200], ShouldEqual, 1)
	})
}
