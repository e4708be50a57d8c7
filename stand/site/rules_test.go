package site

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestTricksNeverReachCallers lets servers spoil a third of their replies in each way.
// Answers stay true, requests that may not be repeated run at most once, and a refusal means that nothing ran.
func TestTricksNeverReachCallers(t *testing.T) {
	cases := []struct {
		name  string
		trick ReplyFault
	}{
		{name: "extra reply", trick: ExtraReply},
		{name: "late extra reply", trick: LateReply},
		{name: "truncated", trick: Truncated},
		{name: "unframed", trick: Unframed},
		{name: "garbage", trick: Garbage},
		{name: "unsigned", trick: Unsigned},
		{name: "failing", trick: Failing},
		{name: "lost", trick: NoReply},
		{name: "shedding", trick: Shedding},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var ended []tally
			twice := 0
			inRig(t, func(r *rig) {
				for _, server := range r.site.servers {
					server.Set(WithReplyFault(c.trick, 0.3))
				}
				for _, host := range []string{searchHost, oneHost, onceHost} {
					ended = append(ended, r.load(0, host, 60, 15*time.Millisecond))
				}
				for _, a := range ended[2].asks {
					if r.site.ExecutionLog.Runs(a.ID) > 1 {
						twice++
					}
				}
			})
			Convey("No answer is untrue, and nothing runs twice that may not", t, func() {
				for _, e := range ended {
					So(e.untrue, ShouldBeEmpty)
					So(e.lost, ShouldEqual, 0)
				}
				So(twice, ShouldEqual, 0)
				So(ended[0].statuses[200], ShouldBeGreaterThanOrEqualTo, 50)
				So(ended[2].statuses[200], ShouldBeGreaterThan, 0)
			})
		})
	}
}

// TestServersThatMayNotGetWorkGetNone drains, removes, evacuates and misplaces servers under load.
func TestServersThatMayNotGetWorkGetNone(t *testing.T) {
	cases := []struct {
		name   string
		change func(s *Site)
	}{
		{name: "draining", change: func(s *Site) { s.Drain("sh-a-0", false); s.Drain("desk-0", false) }},
		{name: "entry removed", change: func(s *Site) { s.Drain("sh-a-0", true); s.Drain("desk-0", true) }},
		{name: "evacuated", change: func(s *Site) { s.Evacuate("east") }},
		{name: "draining while history is dropped", change: func(s *Site) {
			s.Store.Compact()
			s.Drain("sh-a-0", false)
			s.Store.Compact()
		}},
		{name: "draining after the store was silent", change: func(s *Site) {
			s.Store.SetState(StoreSilent)
			time.Sleep(4 * time.Second)
			s.Store.SetState(StoreUp)
			time.Sleep(4 * time.Second)
			s.Drain("sh-a-0", false)
		}},
		{name: "draining after the store was busy", change: func(s *Site) {
			s.Store.SetState(StoreBusy)
			time.Sleep(4 * time.Second)
			s.Store.SetState(StoreUp)
			time.Sleep(4 * time.Second)
			s.Drain("desk-0", true)
		}},
		{name: "address used by another service", change: func(s *Site) {
			if err := s.ReuseAddress("sh-a-0", "desk", "desk-9", 10*time.Millisecond); err != nil {
				panic(err)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var faults map[string]int
			var searches, ones tally
			inRig(t, func(r *rig) {
				c.change(r.site)
				searches = r.load(0, searchHost, 100, 40*time.Millisecond)
				ones = r.load(0, oneHost, 100, 40*time.Millisecond)
				faults = r.site.ExecutionLog.Violations()
			})
			Convey("No server notes work that should not come, and all requests are answered", t, func() {
				So(faults, ShouldBeEmpty)
				So(searches.untrue, ShouldBeEmpty)
				So(searches.statuses[200], ShouldEqual, 100)
				So(ones.statuses[200], ShouldEqual, 100)
			})
		})
	}
}

// TestColdServersGetWhatTheyBear lets a cold server join under load from all hosts.
func TestColdServersGetWhatTheyBear(t *testing.T) {
	const rate = 4
	var faults map[string]int
	arrivals := 0
	inRig(t, func(r *rig) {
		for i := range r.site.Config.Services {
			r.site.Config.Services[i].WarmupPerS = rate
		}
		r.site.Apply()
		time.Sleep(time.Second)
		r.site.Register("desk-0", "ready", 30*time.Second)
		r.site.Server("desk-0").Set(WithMaxArrivalRate(rate*1.5 + 5))
		time.Sleep(time.Second)
		before := r.site.ExecutionLog.Arrivals("desk")
		done := make(chan tally, len(r.hosts))
		for i := range r.hosts {
			r.tasks.Go(func() error {
				done <- r.load(i, oneHost, 300, 10*time.Millisecond)
				return nil
			})
		}
		for range r.hosts {
			<-done
		}
		arrivals = r.site.ExecutionLog.Arrivals("desk") - before
		faults = r.site.ExecutionLog.Violations()
	})
	Convey("It never gets more than the fleet's bound in a second", t, func() {
		So(arrivals, ShouldBeGreaterThanOrEqualTo, 900)
		So(faults, ShouldBeEmpty)
	})
}

// TestRepeatsStayWithinTheBudget makes all replicas of the shards slow at times, so that hosts want to repeat much.
func TestRepeatsStayWithinTheBudget(t *testing.T) {
	const n = 600
	var ended tally
	arrivals := 0
	inRig(t, func(r *rig) {
		for _, server := range r.site.servers {
			server.Set(WithReplyFault(Shedding, 0.7))
		}
		before := r.site.ExecutionLog.Arrivals("sh-a")
		ended = r.load(0, searchHost, n, 10*time.Millisecond)
		arrivals = r.site.ExecutionLog.Arrivals("sh-a") - before
	})
	Convey("Arrivals beyond the first of each request stay within ratio and slack", t, func() {
		So(arrivals-n, ShouldBeLessThanOrEqualTo, int(0.2*n)+50)
		So(ended.untrue, ShouldBeEmpty)
	})
}

// TestConfigurationComesIntoForceAndStays moves a route, with the store losing its history, and restarts a host beside it.
func TestConfigurationComesIntoForceAndStays(t *testing.T) {
	var before, after, removed, added Answer
	inRig(t, func(r *rig) {
		must(r.t, r.site.AddService("later", 3, 10*time.Millisecond))
		c := r.call(1)
		defer c.Close()
		var err error
		before, err = c.Do(r.ask("late.example"))
		must(r.t, err)
		r.site.Store.Compact()
		r.site.Config.Routes[1].Service = "later"
		r.site.Config.Routes = append(r.site.Config.Routes, Route{
			Name: "late", Host: "late.example", Prefix: "/x", Type: "idempotent", MaxAttempts: 1, TimeoutMS: 500, Service: "later",
		})
		r.site.Apply()
		time.Sleep(3 * time.Second)
		arrivals := r.site.ExecutionLog.Arrivals("desk")
		after, err = c.Do(r.ask(oneHost))
		must(r.t, err)
		added, err = c.Do(r.ask("late.example"))
		must(r.t, err)
		if r.site.ExecutionLog.Arrivals("desk") != arrivals {
			after.Status = 0
		}
		r.site.Config.Routes = r.site.Config.Routes[:3]
		r.site.Apply()
		time.Sleep(3 * time.Second)
		removed, err = c.Do(r.ask("late.example"))
		must(r.t, err)
	})
	Convey("Each version is in force within three seconds", t, func() {
		So(before.Status, ShouldEqual, 404)
		So(after.Status, ShouldEqual, 200)
		So(added.Status, ShouldEqual, 200)
		So(removed.Status, ShouldEqual, 404)
	})
}

// TestShardSetsAreNotMixed changes the shard set under load.
func TestShardSetsAreNotMixed(t *testing.T) {
	var ended tally
	inRig(t, func(r *rig) {
		next := []string{"new-a", "new-b", "new-c", "new-d", "new-e", "new-f"}
		for _, name := range next {
			must(r.t, r.site.AddService(name, 3, 10*time.Millisecond))
		}
		r.tasks.Go(func() error {
			time.Sleep(time.Second)
			r.site.Config.Routes[0].Shards = next
			r.site.Apply()
			return nil
		})
		ended = r.load(2, searchHost, 300, 10*time.Millisecond)
	})
	Convey("All answers are whole and of one set", t, func() {
		So(ended.untrue, ShouldBeEmpty)
		So(ended.statuses[200], ShouldEqual, 300)
	})
}

// TestSplitsKeepTheirWeights sends requests along a weighted route.
func TestSplitsKeepTheirWeights(t *testing.T) {
	share := 0.0
	inRig(t, func(r *rig) {
		must(r.t, r.site.AddService("other", 3, 10*time.Millisecond))
		r.site.Config.Routes[1].Service = ""
		r.site.Config.Routes[1].Split = []WeightedService{{Service: "desk", Weight: 0.8}, {Service: "other", Weight: 0.2}}
		r.site.Apply()
		time.Sleep(3 * time.Second)
		before := r.site.ExecutionLog.Arrivals("other")
		r.load(0, oneHost, 200, 10*time.Millisecond)
		share = float64(r.site.ExecutionLog.Arrivals("other")-before) / 200
	})
	Convey("The share is within a tenth of the weight", t, func() {
		So(share, ShouldBeBetween, 0.1, 0.3)
	})
}

// TestLeavingCutsNothing ends a host under load over open connections.
func TestLeavingCutsNothing(t *testing.T) {
	cut, closing := 0, 0
	inRig(t, func(r *rig) {
		callers := make([]*Caller, 20)
		for i := range callers {
			callers[i] = r.call(0)
		}
		r.tasks.Go(func() error {
			time.Sleep(100 * time.Millisecond)
			r.hosts[0].stop()
			return nil
		})
		for _, c := range callers {
			a := r.ask(oneHost)
			must(r.t, c.Send(a))
			time.Sleep(10 * time.Millisecond)
			answer, err := c.Receive(a)
			if err != nil || answer.Status != 200 {
				cut++
			}
			if answer.Close {
				closing++
			}
			c.Close()
		}
	})
	Convey("Every request that was read has its answer, and late ones close their connection", t, func() {
		So(cut, ShouldEqual, 0)
		So(closing, ShouldBeGreaterThan, 0)
	})
}

// TestServersLapsedInAnOutageStay lets entries lapse while the store is away and come back after it.
func TestServersLapsedInAnOutageStay(t *testing.T) {
	var ended tally
	goneAfter := 0
	inRig(t, func(r *rig) {
		r.site.Store.SetState(StoreBusy)
		time.Sleep(3 * time.Second)
		for i := range 3 {
			r.site.Store.Delete("servers", fmt.Sprintf("sh-a-%d", i))
		}
		r.site.Store.SetState(StoreUp)
		r.tasks.Go(func() error {
			time.Sleep(1800 * time.Millisecond)
			r.site.Register("sh-a-0", "ready", 0)
			return nil
		})
		ended = r.load(0, searchHost, 150, 40*time.Millisecond)
		before := r.site.ExecutionLog.Arrivals("sh-a")
		r.site.Server("sh-a-0").Set(WithServiceTime(time.Millisecond))
		r.load(0, searchHost, 20, 40*time.Millisecond)
		goneAfter = r.site.ExecutionLog.Arrivals("sh-a") - before
	})
	Convey("Searches stay whole, and only the server that came back is used later", t, func() {
		So(ended.partial, ShouldEqual, 0)
		So(ended.statuses[200], ShouldEqual, 150)
		So(goneAfter, ShouldBeGreaterThanOrEqualTo, 20)
	})
}

// TestMalformedEntriesHarmNoOther writes entries that name no server.
func TestMalformedEntriesHarmNoOther(t *testing.T) {
	cases := []struct {
		name  string
		value string
	}{
		{name: "no object", value: `"junk"`},
		{name: "missing fields", value: `{"service":"desk","address":"127.0.0.1:1"}`},
		{name: "wrong type", value: `{"service":"desk","address":"127.0.0.1:1","zone":"east","version":"v1","concurrency":"4","state":"ready","warmup_left_ms":0,"sequence":1}`},
		{name: "unknown state", value: `{"service":"desk","address":"127.0.0.1:1","zone":"east","version":"v1","concurrency":4,"state":"odd","warmup_left_ms":0,"sequence":1}`},
		{name: "no address", value: `{"service":"desk","address":"nowhere","zone":"east","version":"v1","concurrency":4,"state":"ready","warmup_left_ms":0,"sequence":1}`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var ended tally
			inRig(t, func(r *rig) {
				r.site.Store.PutRaw("servers", "odd-1", []byte(c.value))
				time.Sleep(2 * time.Second)
				ended = r.load(0, oneHost, 30, 10*time.Millisecond)
			})
			Convey("All requests are answered", t, func() {
				So(ended.statuses[200], ShouldEqual, 30)
			})
		})
	}
}

// TestCallersThatLeaveEndTheirWork closes a caller's connection while a long request runs.
func TestCallersThatLeaveEndTheirWork(t *testing.T) {
	var ended, sent int
	inRig(t, func(r *rig) {
		for _, server := range r.site.servers {
			server.Set(WithServiceTime(1500 * time.Millisecond))
		}
		c := r.call(0)
		must(r.t, c.Send(r.ask(oneHost)))
		time.Sleep(200 * time.Millisecond)
		sent = r.site.ExecutionLog.Arrivals("desk")
		c.Close()
		time.Sleep(goneBound)
		for _, server := range r.site.servers {
			server.Set(func(s *Server) {
				if s.service == "desk" {
					ended += s.ended
				}
			})
		}
	})
	Convey("All servers' work on the request, hedged or not, ends within half a second", t, func() {
		So(sent, ShouldBeGreaterThan, 0)
		So(ended, ShouldEqual, sent)
	})
}

// TestNotReadyWithoutConfiguration starts a host while the store is away.
func TestNotReadyWithoutConfiguration(t *testing.T) {
	var early, late Answer
	inRig(t, func(r *rig) {
		r.site.Store.SetState(StoreBusy)
		settings, err := r.site.Settings("host-9", "east")
		must(r.t, err)
		r.hosts = append(r.hosts, r.start(settings))
		time.Sleep(time.Second)
		c := r.call(3)
		early, err = c.Do(r.ask(oneHost))
		must(r.t, err)
		c.Close()
		r.site.Store.SetState(StoreUp)
		time.Sleep(4 * time.Second)
		c = r.call(3)
		late, err = c.Do(r.ask(oneHost))
		must(r.t, err)
		c.Close()
	})
	Convey("It refuses as not run, says when to come back, and serves once it knows", t, func() {
		So(early.Status, ShouldEqual, 503)
		So(early.RetryAfter, ShouldNotBeEmpty)
		So(late.Status, ShouldEqual, 200)
	})
}

// TestCallsWithoutAConnectionAreNotRun sends many requests that may not be repeated to servers that are all busy.
func TestCallsWithoutAConnectionAreNotRun(t *testing.T) {
	var ended tally
	ran := 0
	inRig(t, func(r *rig) {
		for _, server := range r.site.servers {
			server.Set(WithServiceTime(5 * time.Second))
		}
		ended = r.load(0, onceHost, 150, time.Millisecond)
		for _, a := range ended.asks {
			ran += r.site.ExecutionLog.Runs(a.ID)
		}
	})
	Convey("Those that never had a connection are refused as not run, the others' outcome is not known", t, func() {
		So(ended.untrue, ShouldBeEmpty)
		So(ended.statuses[502], ShouldEqual, ran)
		So(ended.statuses[503], ShouldEqual, 150-ran)
		So(ran, ShouldBeBetween, 10, 140)
	})
}

// TestSearchesWithoutServersAreRefused takes away all servers of two of four shards.
func TestSearchesWithoutServersAreRefused(t *testing.T) {
	const n = 20
	var ended tally
	var refused Answer
	sent := 0
	inRig(t, func(r *rig) {
		for _, shard := range []string{"sh-a", "sh-b"} {
			for i := range DataCentres {
				r.site.Drain(fmt.Sprintf("%s-%d", shard, i), true)
			}
		}
		time.Sleep(warmTime)
		before := r.site.ExecutionLog.Sent("host-0")
		ended = r.load(0, searchHost, n, 10*time.Millisecond)
		c := r.call(0)
		defer c.Close()
		var err error
		refused, err = c.Do(r.ask(searchHost))
		must(r.t, err)
		sent = r.site.ExecutionLog.Sent("host-0") - before
	})
	Convey("They are refused as not run, nothing is sent, and callers are told to wait", t, func() {
		So(ended.untrue, ShouldBeEmpty)
		So(ended.statuses[503], ShouldEqual, n)
		So(refused.RetryAfter, ShouldEqual, "1.000")
		So(sent, ShouldEqual, 0)
	})
}

// TestPausedServersDoNotHoldSearches lets one replica of each shard pause.
func TestPausedServersDoNotHoldSearches(t *testing.T) {
	var ended tally
	inRig(t, func(r *rig) {
		r.load(0, searchHost, 100, 10*time.Millisecond)
		for _, id := range []string{"sh-a-0", "sh-b-0", "sh-c-0"} {
			r.site.Server(id).Set(WithPause(400 * time.Millisecond))
		}
		ended = r.load(0, searchHost, 40, 10*time.Millisecond)
	})
	Convey("Searches are answered within their objective", t, func() {
		So(ended.untrue, ShouldBeEmpty)
		So(ended.statuses[200], ShouldEqual, 40)
		So(ended.slowest, ShouldBeLessThanOrEqualTo, 100*time.Millisecond)
	})
}

// TestFewHostsWatchTheStore runs eight hosts in one data centre and changes the configuration and the servers.
func TestFewHostsWatchTheStore(t *testing.T) {
	var calls map[string]int
	var last tally
	var faults map[string]int
	inRig(t, func(r *rig) {
		for i := range 7 {
			r.add(fmt.Sprintf("more-%d", i), "east")
		}
		time.Sleep(10 * time.Second)
		before := r.site.Store.Calls()
		for range 10 {
			r.site.Apply()
			time.Sleep(time.Second)
		}
		calls = r.site.Store.Calls()
		for name, n := range before {
			calls[name] -= n
		}
		r.site.Drain("sh-a-0", false)
		r.site.Drain("desk-0", true)
		time.Sleep(3 * time.Second)
		last = r.load(len(r.hosts)-1, searchHost, 50, 20*time.Millisecond)
		faults = r.site.ExecutionLog.Violations()
	})
	Convey("Ten changes cost ten watches for each of four watchers, and all hosts learn of them", t, func() {
		So(calls["watch"], ShouldBeLessThanOrEqualTo, 4*10+8)
		So(calls["list"], ShouldEqual, 0)
		So(last.statuses[200], ShouldEqual, 50)
		So(faults, ShouldBeEmpty)
	})
}

// TestHostsLearnWhenTheirWatchersAreCutOff cuts the watchers of a data centre off the store while a server leaves.
func TestHostsLearnWhenTheirWatchersAreCutOff(t *testing.T) {
	var faults map[string]int
	var last tally
	inRig(t, func(r *rig) {
		for i := range 5 {
			r.add(fmt.Sprintf("more-%d", i), "east")
		}
		time.Sleep(10 * time.Second)
		watching := r.site.Store.Watchers()
		for i := range r.hosts {
			if id := r.hosts[i].settings.ID; watching[id] && r.hosts[i].settings.DataCentre == "east" {
				r.site.Store.Refuse(id)
			}
		}
		r.site.Drain("sh-a-0", false)
		r.site.Drain("desk-0", true)
		for i := range r.hosts {
			if !watching[r.hosts[i].settings.ID] {
				last = r.load(i, searchHost, 150, 40*time.Millisecond)
				break
			}
		}
		faults = r.site.ExecutionLog.Violations()
	})
	Convey("A host that reaches the store sends nothing to servers that left", t, func() {
		So(last.statuses[200], ShouldEqual, 150)
		So(faults, ShouldBeEmpty)
	})
}
