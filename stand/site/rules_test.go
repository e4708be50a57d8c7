package site

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"
)

// TestFaultyRepliesDoNotReachCallers injects each fault into 30 percent of the servers' replies.
// Answers must stay correct, non-idempotent requests must run at most once, and a refusal must mean that nothing ran.
func TestFaultyRepliesDoNotReachCallers(t *testing.T) {
	cases := []struct {
		name  string
		fault ReplyFault
	}{
		{name: "extra reply", fault: ExtraReply},
		{name: "late extra reply", fault: LateReply},
		{name: "late copy broken off", fault: LateCopy},
		{name: "truncated", fault: Truncated},
		{name: "unframed", fault: Unframed},
		{name: "garbage", fault: Garbage},
		{name: "unsigned", fault: Unsigned},
		{name: "failing", fault: Failing},
		{name: "unmarked 408", fault: Unmarked408},
		{name: "unmarked 421", fault: Unmarked421},
		{name: "unmarked 429", fault: Unmarked429},
		{name: "unmarked 503", fault: Unmarked503},
		{name: "lost", fault: NoReply},
		{name: "shedding", fault: Shedding},
		{name: "status 000", fault: NoStatus},
		{name: "broken off and sent again", fault: Restarted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var results []tally
			twice := 0
			inRig(t, func(r *rig) {
				for _, server := range r.site.servers {
					server.Set(WithReplyFault(c.fault, 0.3))
				}
				for _, host := range []string{searchHost, oneHost, onceHost} {
					results = append(results, r.load(0, host, 60, 15*time.Millisecond))
				}
				for _, a := range results[2].requests {
					if r.site.ExecutionLog.Runs(a.ID) > 1 {
						twice++
					}
				}
			})
			Convey("All answers are correct, and no non-idempotent request runs twice", t, func() {
				for _, e := range results {
					So(e.incorrect, ShouldBeEmpty)
					So(e.failed, ShouldEqual, 0)
				}
				So(twice, ShouldEqual, 0)
				So(results[0].statuses[200], ShouldBeGreaterThanOrEqualTo, 50)
				So(results[2].statuses[200], ShouldBeGreaterThan, 0)
			})
		})
	}
}

// TestLateRefusalIsNotTakenForTheNextReply guards against a request that runs twice. Servers with free slots refuse requests by
// chance, and send a copy of the refusal when the next request comes on the connection. Once all servers of the service have refused a
// request, the host asks the first one again; if it did so on the same connection, the copy would pass for the second reply.
func TestLateRefusalIsNotTakenForTheNextReply(t *testing.T) {
	var result tally
	twice, refusedAndRun := 0, 0
	inRig(t, func(r *rig) {
		for n := 2; n < 6; n++ {
			r.site.Drain(fmt.Sprintf("desk-%d", n), true)
		}
		for n := range 2 {
			r.site.Server(fmt.Sprintf("desk-%d", n)).Set(WithReplyFault(CopiedRefusal, 0.5))
		}
		time.Sleep(settleTime)
		result = r.load(0, onceHost, 400, 15*time.Millisecond)
		for _, request := range result.requests {
			if r.site.ExecutionLog.Runs(request.ID) > 1 {
				twice++
			}
		}
		refusedAndRun = len(result.incorrect)
	})
	Convey("No request runs twice, and none that was refused has run", t, func() {
		So(twice, ShouldEqual, 0)
		So(refusedAndRun, ShouldEqual, 0)
		So(result.statuses[200], ShouldBeGreaterThan, 200)
	})
}

// TestIneligibleServersGetNoWork drains, removes and evacuates servers under load, and lets another server use the address of one.
func TestIneligibleServersGetNoWork(t *testing.T) {
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
		{name: "draining after the store throttled all calls", change: func(s *Site) {
			s.Store.SetState(StoreThrottled)
			time.Sleep(4 * time.Second)
			s.Store.SetState(StoreUp)
			time.Sleep(4 * time.Second)
			s.Drain("sh-a-0", false)
		}},
		{name: "draining while the store is slow", change: func(s *Site) {
			s.Store.SetState(StoreSlow)
			time.Sleep(4 * time.Second)
			s.Drain("sh-a-0", false)
			s.Drain("desk-0", true)
		}},
		{name: "evacuated while watches are cut", change: func(s *Site) { s.Store.CutWatches(); s.Evacuate("east") }},
		{name: "draining while watches are cut", change: func(s *Site) { s.Store.CutWatches(); s.Drain("sh-a-0", false) }},
		{name: "address used by another service", change: func(s *Site) {
			if err := s.ReuseAddress("sh-a-0", "desk", "desk-9", 10*time.Millisecond); err != nil {
				panic(err)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var violations map[string]int
			var searches, ones tally
			inRig(t, func(r *rig) {
				c.change(r.site)
				searches = r.load(0, searchHost, 100, 40*time.Millisecond)
				ones = r.load(0, oneHost, 100, 40*time.Millisecond)
				violations = r.site.ExecutionLog.Violations()
			})
			Convey("No server counts a violation, and all requests are answered", t, func() {
				So(violations, ShouldBeEmpty)
				So(searches.incorrect, ShouldBeEmpty)
				So(searches.statuses[200], ShouldEqual, 100)
				So(ones.statuses[200], ShouldEqual, 100)
			})
		})
	}
}

// TestColdServersStayWithinWarmupRate lets a cold server join under load from all hosts.
func TestColdServersStayWithinWarmupRate(t *testing.T) {
	const rate = 4
	var violations map[string]int
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
		violations = r.site.ExecutionLog.Violations()
	})
	Convey("It never gets more in a second than the warm-up rate with its factor and slack permits over all hosts", t, func() {
		So(arrivals, ShouldBeGreaterThanOrEqualTo, 900)
		So(violations, ShouldBeEmpty)
	})
}

// TestIsolatedHostsStayWithinWarmupRate lets a cold server join under load from hosts of which some have peers that are all
// down, so that they know no other host. A host without peers is the whole fleet and keeps its full rate.
func TestIsolatedHostsStayWithinWarmupRate(t *testing.T) {
	const rate = 10
	cases := []struct {
		name     string
		isolated int
		// least is the least number of requests that the cold server gets within the ten seconds of the test.
		least int
	}{
		{name: "two of five hosts", isolated: 2},
		{name: "none", least: 10 * rate},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var violations map[string]int
			arrivals := 0
			inRig(t, func(r *rig) {
				for i := range r.site.Config.Services {
					r.site.Config.Services[i].WarmupPerS = rate
				}
				r.site.Apply()
				// Beacons would let the isolated hosts find the others.
				r.site.Store.ThrottleWrites()
				for n := range c.isolated {
					down, err := r.site.Network.Address("east", "down")
					must(r.t, err)
					settings, err := r.site.Settings(fmt.Sprintf("isolated-%d", n), "east", down)
					must(r.t, err)
					r.hosts = append(r.hosts, r.start(settings))
				}
				if c.isolated == 0 {
					r.leave(1)
					r.leave(2)
					r.leave(0)
					settings, err := r.site.Settings("alone", "east")
					must(r.t, err)
					r.hosts = []*testHost{r.start(settings)}
				}
				time.Sleep(2 * settleTime)
				r.site.Register("desk-0", "ready", 30*time.Second)
				r.site.Server("desk-0").Set(WithMaxArrivalRate(rate*1.5 + 5))
				time.Sleep(time.Second)
				before := r.site.ExecutionLog.ArrivalsAt("desk-0")
				done := make(chan tally, len(r.hosts))
				for i := range r.hosts {
					r.tasks.Go(func() error {
						done <- r.load(i, oneHost, 1000, 10*time.Millisecond)
						return nil
					})
				}
				for range r.hosts {
					<-done
				}
				arrivals = r.site.ExecutionLog.ArrivalsAt("desk-0") - before
				violations = r.site.ExecutionLog.Violations()
			})
			Convey("The cold server never gets more in a second than all hosts together may send", t, func() {
				So(violations, ShouldBeEmpty)
				So(arrivals, ShouldBeGreaterThan, c.least)
			})
		})
	}
}

// TestRetriesStayWithinBudget makes all servers refuse 70 percent of their requests, so that hosts have cause for many retries.
func TestRetriesStayWithinBudget(t *testing.T) {
	const n = 600
	var result tally
	arrivals := 0
	inRig(t, func(r *rig) {
		for _, server := range r.site.servers {
			server.Set(WithReplyFault(Shedding, 0.7))
		}
		before := r.site.ExecutionLog.Arrivals("sh-a")
		result = r.load(0, searchHost, n, 10*time.Millisecond)
		arrivals = r.site.ExecutionLog.Arrivals("sh-a") - before
	})
	Convey("Arrivals beyond the first of each request stay within the ratio and slack of the retry budget", t, func() {
		So(arrivals-n, ShouldBeLessThanOrEqualTo, int(0.2*n)+50)
		So(result.incorrect, ShouldBeEmpty)
	})
}

// TestConfigurationTakesEffect moves, adds and removes a route; the store has dropped its history before the first change.
func TestConfigurationTakesEffect(t *testing.T) {
	var before, after, removed, added Answer
	inRig(t, func(r *rig) {
		must(r.t, r.site.AddService("later", 3, 10*time.Millisecond))
		c := r.call(1)
		defer c.Close()
		var err error
		before, err = c.Do(r.newRequest("late.example"))
		must(r.t, err)
		r.site.Store.Compact()
		r.site.Config.Routes[1].Service = "later"
		r.site.Config.Routes = append(r.site.Config.Routes, Route{
			Name: "late", Host: "late.example", Prefix: "/x", Type: "idempotent", MaxAttempts: 1, TimeoutMS: 500, Service: "later",
		})
		r.site.Apply()
		time.Sleep(3 * time.Second)
		arrivals := r.site.ExecutionLog.Arrivals("desk")
		after, err = c.Do(r.newRequest(oneHost))
		must(r.t, err)
		added, err = c.Do(r.newRequest("late.example"))
		must(r.t, err)
		if r.site.ExecutionLog.Arrivals("desk") != arrivals {
			after.Status = 0
		}
		r.site.Config.Routes = r.site.Config.Routes[:3]
		r.site.Apply()
		time.Sleep(3 * time.Second)
		removed, err = c.Do(r.newRequest("late.example"))
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
	var result tally
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
		result = r.load(2, searchHost, 300, 10*time.Millisecond)
	})
	Convey("All searches are answered, each from one shard set", t, func() {
		So(result.incorrect, ShouldBeEmpty)
		So(result.statuses[200], ShouldEqual, 300)
	})
}

// TestTrafficSplitFollowsWeights sends requests on a route that splits traffic between two services.
func TestTrafficSplitFollowsWeights(t *testing.T) {
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

// TestDrainAnswersRequestsInProgress drains a host while callers send requests over open connections.
func TestDrainAnswersRequestsInProgress(t *testing.T) {
	unanswered, closing := 0, 0
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
			a := r.newRequest(oneHost)
			must(r.t, c.Send(a))
			time.Sleep(10 * time.Millisecond)
			answer, err := c.Receive(a)
			if err != nil || answer.Status != 200 {
				unanswered++
			}
			if answer.Close {
				closing++
			}
			c.Close()
		}
	})
	Convey("Every request that was read is answered, and later answers close their connection", t, func() {
		So(unanswered, ShouldEqual, 0)
		So(closing, ShouldBeGreaterThan, 0)
	})
}

// TestStopEndsWhileCallersKeepComing stops the three hosts of a data centre one second apart, while the load balancer goes on
// sending them new connections, as it does when too few hosts are ready.
func TestStopEndsWhileCallersKeepComing(t *testing.T) {
	const gap = 37500 * time.Microsecond
	cut, answered := 0, 0
	var took []time.Duration
	inRig(t, func(r *rig) {
		r.add("more-0", "east")
		r.add("more-1", "east")
		time.Sleep(settleTime)
		for _, server := range r.site.servers {
			server.Set(WithServiceTime(220 * time.Millisecond))
		}
		var ended atomic.Int64
		times := make(chan time.Duration, 3)
		for n, i := range []int{0, 3, 4} {
			r.tasks.Go(func() error {
				time.Sleep(time.Duration(n+1) * time.Second)
				began := time.Now()
				r.leave(i)
				times <- time.Since(began)
				ended.Add(1)
				return nil
			})
		}
		var callers errgroup.Group
		var cuts, answers atomic.Int64
		for n := 0; ended.Load() < 3 && n < 1000; n++ {
			i := []int{0, 3, 4}[n%3]
			callers.Go(func() error {
				c, err := r.site.Dial(r.hosts[i].settings.Platform.CallerAddress)
				if err != nil {
					return nil
				}
				defer c.Close()
				request := r.newRequest(oneHost)
				if c.Send(request) != nil {
					return nil
				}
				switch answer, err := c.Receive(request); {
				case err == nil && answer.Status == 200:
					answers.Add(1)
				case err != nil && r.site.ExecutionLog.Runs(request.ID) > 0, err == nil && answer.Status == 502:
					cuts.Add(1)
				}
				return nil
			})
			time.Sleep(gap / 3)
		}
		must(t, callers.Wait())
		cut, answered = int(cuts.Load()), int(answers.Load())
		for range 3 {
			took = append(took, <-times)
		}
	})
	Convey("No request that was passed on is cut, and each host ends by itself within its stop limit", t, func() {
		So(cut, ShouldEqual, 0)
		So(answered, ShouldBeGreaterThan, 100)
		for _, d := range took {
			So(d, ShouldBeLessThanOrEqualTo, 5*time.Second)
		}
	})
}

// TestServersRemovedDuringOutageStayInUse deletes the entries of a shard's servers while the store answers 503;
// one server registers again after the outage. Hosts must hold back the removals until the servers had time to register again.
func TestServersRemovedDuringOutageStayInUse(t *testing.T) {
	var result tally
	laterArrivals := 0
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
		result = r.load(0, searchHost, 150, 40*time.Millisecond)
		before := r.site.ExecutionLog.Arrivals("sh-a")
		r.site.Server("sh-a-0").Set(WithServiceTime(time.Millisecond))
		r.load(0, searchHost, 20, 40*time.Millisecond)
		laterArrivals = r.site.ExecutionLog.Arrivals("sh-a") - before
	})
	Convey("Searches stay complete, and later the server that registered again is used", t, func() {
		So(result.partial, ShouldEqual, 0)
		So(result.statuses[200], ShouldEqual, 150)
		So(laterArrivals, ShouldBeGreaterThanOrEqualTo, 20)
	})
}

// TestMalformedEntriesAreIgnored writes entries that describe no valid server.
func TestMalformedEntriesAreIgnored(t *testing.T) {
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
			var result tally
			inRig(t, func(r *rig) {
				r.site.Store.PutRaw("servers", "odd-1", []byte(c.value))
				time.Sleep(2 * time.Second)
				result = r.load(0, oneHost, 30, 10*time.Millisecond)
			})
			Convey("All requests are answered", t, func() {
				So(result.statuses[200], ShouldEqual, 30)
			})
		})
	}
}

// TestDisconnectedCallersCancelWork closes a caller's connection while its request runs.
func TestDisconnectedCallersCancelWork(t *testing.T) {
	var cancelled, sent int
	inRig(t, func(r *rig) {
		for _, server := range r.site.servers {
			server.Set(WithServiceTime(1500 * time.Millisecond))
		}
		c := r.call(0)
		must(r.t, c.Send(r.newRequest(oneHost)))
		time.Sleep(200 * time.Millisecond)
		sent = r.site.ExecutionLog.Arrivals("desk")
		c.Close()
		time.Sleep(cancelGrace)
		for _, server := range r.site.servers {
			server.Set(func(s *Server) {
				if s.service == "desk" {
					cancelled += s.cancelled
				}
			})
		}
	})
	Convey("All servers' work on the request, hedges included, ends within half a second", t, func() {
		So(sent, ShouldBeGreaterThan, 0)
		So(cancelled, ShouldEqual, sent)
	})
}

// TestNotReadyWithoutConfiguration starts a host while the store answers 503, and lets the store recover.
func TestNotReadyWithoutConfiguration(t *testing.T) {
	var early, late Answer
	inRig(t, func(r *rig) {
		r.site.Store.SetState(StoreBusy)
		settings, err := r.site.Settings("host-9", "east")
		must(r.t, err)
		r.hosts = append(r.hosts, r.start(settings))
		time.Sleep(time.Second)
		c := r.call(3)
		early, err = c.Do(r.newRequest(oneHost))
		must(r.t, err)
		c.Close()
		r.site.Store.SetState(StoreUp)
		time.Sleep(4 * time.Second)
		c = r.call(3)
		late, err = c.Do(r.newRequest(oneHost))
		must(r.t, err)
		c.Close()
	})
	Convey("It refuses requests as not executed, with Retry-After, and serves once it has the configuration", t, func() {
		So(early.Status, ShouldEqual, 503)
		So(early.RetryAfter, ShouldNotBeEmpty)
		So(late.Status, ShouldEqual, 200)
	})
}

// TestRequestsWithoutConnectionAreNotRun sends more non-idempotent requests than busy servers have connections for.
func TestRequestsWithoutConnectionAreNotRun(t *testing.T) {
	var result tally
	ran := 0
	inRig(t, func(r *rig) {
		for _, server := range r.site.servers {
			server.Set(WithServiceTime(5 * time.Second))
		}
		result = r.load(0, onceHost, 150, time.Millisecond)
		for _, a := range result.requests {
			ran += r.site.ExecutionLog.Runs(a.ID)
		}
	})
	Convey("Those without a connection are refused as not executed (503), the outcome of the others is unknown (502)", t, func() {
		So(result.incorrect, ShouldBeEmpty)
		So(result.statuses[502], ShouldEqual, ran)
		So(result.statuses[503], ShouldEqual, 150-ran)
		So(ran, ShouldBeBetween, 10, 140)
	})
}

// TestSearchesWithoutServersAreRefused removes all servers of two of four shards.
func TestSearchesWithoutServersAreRefused(t *testing.T) {
	const n = 20
	var result tally
	var refused Answer
	sent := 0
	inRig(t, func(r *rig) {
		for _, shard := range []string{"sh-a", "sh-b"} {
			for i := range DataCentres {
				r.site.Drain(fmt.Sprintf("%s-%d", shard, i), true)
			}
		}
		time.Sleep(settleTime)
		before := r.site.ExecutionLog.Sent("host-0")
		result = r.load(0, searchHost, n, 10*time.Millisecond)
		c := r.call(0)
		defer c.Close()
		var err error
		refused, err = c.Do(r.newRequest(searchHost))
		must(r.t, err)
		sent = r.site.ExecutionLog.Sent("host-0") - before
	})
	Convey("They are refused as not executed, nothing is sent, and callers are advised to wait", t, func() {
		So(result.incorrect, ShouldBeEmpty)
		So(result.statuses[503], ShouldEqual, n)
		So(refused.RetryAfter, ShouldEqual, "1.000")
		So(sent, ShouldEqual, 0)
	})
}

// TestPausedReplicasDoNotDelaySearches pauses one replica of three of the four shards.
func TestPausedReplicasDoNotDelaySearches(t *testing.T) {
	var result tally
	inRig(t, func(r *rig) {
		r.load(0, searchHost, 100, 10*time.Millisecond)
		for _, id := range []string{"sh-a-0", "sh-b-0", "sh-c-0"} {
			r.site.Server(id).Set(WithPause(400 * time.Millisecond))
		}
		result = r.load(0, searchHost, 40, 10*time.Millisecond)
	})
	Convey("Searches are answered within their objective", t, func() {
		So(result.incorrect, ShouldBeEmpty)
		So(result.statuses[200], ShouldEqual, 40)
		So(result.slowest, ShouldBeLessThanOrEqualTo, 100*time.Millisecond)
	})
}

// TestFewHostsWatchTheStore runs eight hosts in one data centre and changes the configuration and the servers.
func TestFewHostsWatchTheStore(t *testing.T) {
	var calls map[string]int
	var answered tally
	var violations map[string]int
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
		answered = r.load(len(r.hosts)-1, searchHost, 50, 20*time.Millisecond)
		violations = r.site.ExecutionLog.Violations()
	})
	Convey("Ten changes cost ten watches for each of four watchers, and all hosts receive them", t, func() {
		So(calls["watch"], ShouldBeLessThanOrEqualTo, 4*10+8)
		So(calls["list"], ShouldEqual, 0)
		So(answered.statuses[200], ShouldEqual, 50)
		So(violations, ShouldBeEmpty)
	})
}

// TestHostsFollowWhenWatchersLoseTheStore makes the store refuse the hosts that watch it for their data centre while servers leave.
// The other hosts must notice that and learn the changes in another way.
func TestHostsFollowWhenWatchersLoseTheStore(t *testing.T) {
	var violations map[string]int
	var answered tally
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
				answered = r.load(i, searchHost, 150, 40*time.Millisecond)
				break
			}
		}
		violations = r.site.ExecutionLog.Violations()
	})
	Convey("A host that reaches the store sends nothing to servers that left", t, func() {
		So(answered.statuses[200], ShouldEqual, 150)
		So(violations, ShouldBeEmpty)
	})
}
