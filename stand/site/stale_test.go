package site

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// staleCase is a way in which the store answers stale lists.
type staleCase struct {
	name        string
	age         time.Duration
	presentAsOf bool
	// churn makes other objects change all the while.
	churn bool
}

// staleCases are both readings of as_of, with data of some ages, on a store where nothing else changes and on a busy one.
var staleCases = []staleCase{
	{name: "2.5 s, as_of of the data", age: 2500 * time.Millisecond},
	{name: "2.5 s, present as_of", age: 2500 * time.Millisecond, presentAsOf: true},
	{name: "4 s, as_of of the data, busy", age: 4 * time.Second, churn: true},
	{name: "4 s, present as_of, busy", age: 4 * time.Second, presentAsOf: true, churn: true},
	{name: "10 s, as_of of the data", age: 10 * time.Second},
	{name: "10 s, present as_of", age: 10 * time.Second, presentAsOf: true},
	{name: "10 s, as_of of the data, busy", age: 10 * time.Second, churn: true},
	{name: "10 s, present as_of, busy", age: 10 * time.Second, presentAsOf: true, churn: true},
}

// pass lets time pass, in which other objects change if the case says so.
func (c staleCase) pass(r *rig, d time.Duration) {
	const period = 250 * time.Millisecond
	for n := 0; c.churn && d > period; n++ {
		r.site.Register(fmt.Sprintf("desk-%d", n%6), "ready", 0)
		time.Sleep(period)
		d -= period
	}
	time.Sleep(d)
}

// change moves the route one to the service later, removes a server and takes a data centre out.
func (r *rig) change() {
	r.site.Config.Routes[1].Service = "later"
	r.site.Apply()
	r.site.Drain("sh-a-0", true)
	r.site.Evacuate("west")
}

// arrivalsAfterChange sends requests to the hosts and returns the number that reached the service of before the change.
func (r *rig) arrivalsAfterChange(hosts ...int) (old, answered int) {
	before := r.site.ExecutionLog.Arrivals("desk")
	for _, i := range hosts {
		ones := r.load(i, oneHost, 10, 10*time.Millisecond)
		searches := r.load(i, searchHost, 20, 10*time.Millisecond)
		answered += ones.statuses[200] + searches.statuses[200]
	}
	return r.site.ExecutionLog.Arrivals("desk") - before, answered
}

// TestStartOnStaleListsMissesNoChange starts hosts right after a change, while stale lists still return what was before. A host
// that takes the list as complete up to its as_of never asks for what the list lacks.
func TestStartOnStaleListsMissesNoChange(t *testing.T) {
	starts := []struct {
		name string
		// alone starts one host that reaches no other one in its first second; otherwise all start at once.
		alone bool
	}{
		{name: "all hosts"},
		{name: "one host that reaches the others late", alone: true},
	}
	for _, start := range starts {
		for _, c := range staleCases {
			t.Run(start.name+", "+c.name, func(t *testing.T) {
				var violations map[string]int
				old, answered, want := 0, 0, 0
				inRig(t, func(r *rig) {
					must(r.t, r.site.AddService("later", 3, 10*time.Millisecond))
					r.site.Apply()
					time.Sleep(12 * time.Second)
					r.site.Store.SetStaleReads(c.age, c.presentAsOf)
					started := []int{0, 1, 2}
					if start.alone {
						started = []int{2}
						r.site.Network.Cut("north", "east", true)
						r.site.Network.Cut("north", "west", true)
					}
					for _, i := range started {
						r.leave(i)
					}
					r.change()
					c.pass(r, 500*time.Millisecond)
					for _, i := range started {
						r.hosts[i] = r.start(r.hosts[i].settings)
					}
					c.pass(r, time.Second)
					r.site.Network.Cut("north", "east", false)
					r.site.Network.Cut("north", "west", false)
					c.pass(r, 4*time.Second)
					old, answered = r.arrivalsAfterChange(started...)
					violations, want = r.site.ExecutionLog.Violations(), 30*len(started)
				})
				Convey("Every host has the change in force five seconds after its start", t, func() {
					So(old, ShouldEqual, 0)
					So(violations, ShouldBeEmpty)
					So(answered, ShouldEqual, want)
				})
			})
		}
	}
}

// TestLostWatchAnswersDelayNoChange loses the store's answers to watches for a time, in which an object of each kind changes.
// The connections return nothing further, while the answers to all other calls come. Stale lists don't show what the watches of
// all hosts have missed.
func TestLostWatchAnswersDelayNoChange(t *testing.T) {
	const (
		lossTime     = 4500 * time.Millisecond
		stableWindow = 4 * time.Second
		applyTime    = 3 * time.Second
	)
	cases := append([]staleCase{{name: "present data"}, {name: "present data, busy", churn: true}}, staleCases...)
	fleets := []struct {
		name string
		// left are the hosts that leave the fleet before the test.
		left  []int
		hosts []int
	}{
		{name: "three data centres", hosts: []int{0, 1, 2, 3, 4, 5}},
		{name: "one data centre", left: []int{1, 2}, hosts: []int{0, 3, 4, 5}},
	}
	for _, fleet := range fleets {
		for _, c := range cases {
			t.Run(fleet.name+", "+c.name, func(t *testing.T) {
				var violations map[string]int
				old, answered := 0, 0
				inRig(t, func(r *rig) {
					must(r.t, r.site.AddService("later", 3, 10*time.Millisecond))
					for i := range 3 {
						r.add(fmt.Sprintf("more-%d", i), "east")
					}
					r.site.Apply()
					for _, i := range fleet.left {
						r.leave(i)
					}
					time.Sleep(12 * time.Second)
					r.site.Store.SetStaleReads(c.age, c.presentAsOf)
					r.site.Store.LoseWatchAnswers(true)
					c.pass(r, lossTime/4)
					r.site.Apply()
					r.site.Register("desk-0", "ready", 0)
					r.site.Evacuate("north")
					r.site.EndEvacuation("north")
					c.pass(r, lossTime*3/4)
					r.site.Store.LoseWatchAnswers(false)
					c.pass(r, stableWindow)
					r.change()
					c.pass(r, applyTime)
					old, answered = r.arrivalsAfterChange(fleet.hosts...)
					violations = r.site.ExecutionLog.Violations()
				})
				Convey("Every host has the next change in force within three seconds", t, func() {
					So(old, ShouldEqual, 0)
					So(violations, ShouldBeEmpty)
					So(answered, ShouldEqual, 30*len(fleet.hosts))
				})
			})
		}
	}
}

// TestTroubleOfOneHostDelaysNoChange cuts one host off from the store, or freezes it, while an object of each kind changes. It is the
// host that asks for the store's present revision, or another one. The next change comes once all are well.
func TestTroubleOfOneHostDelaysNoChange(t *testing.T) {
	const (
		troubleTime  = 4500 * time.Millisecond
		stableWindow = 4 * time.Second
		applyTime    = 3 * time.Second
	)
	troubles := []struct {
		name   string
		change func(r *rig, host string, begins bool)
	}{
		{name: "silent store", change: func(r *rig, host string, begins bool) { r.site.Store.Mute(host, begins) }},
		{name: "freeze", change: func(r *rig, host string, begins bool) { r.site.Network.Hold(host, begins) }},
	}
	for _, trouble := range troubles {
		for _, checks := range []bool{true, false} {
			for _, c := range staleCases[len(staleCases)/2:] { // The oldest data.
				t.Run(fmt.Sprintf("%s, of the host that checks: %t, %s", trouble.name, checks, c.name), func(t *testing.T) {
					var violations map[string]int
					old, answered := 0, 0
					inRig(t, func(r *rig) {
						must(r.t, r.site.AddService("later", 3, 10*time.Millisecond))
						for i := range 3 {
							r.add(fmt.Sprintf("more-%d", i), "east")
						}
						r.site.Apply()
						r.site.Store.Checkers()
						time.Sleep(12 * time.Second)
						checkers := r.site.Store.Checkers()
						host := ""
						for i := range r.hosts {
							if id := r.hosts[i].settings.ID; checkers[id] == checks {
								host = id
							}
						}
						r.site.Store.SetStaleReads(c.age, c.presentAsOf)
						trouble.change(r, host, true)
						c.pass(r, troubleTime/4)
						r.site.Apply()
						r.site.Register("desk-0", "ready", 0)
						r.site.Evacuate("north")
						r.site.EndEvacuation("north")
						c.pass(r, troubleTime*3/4)
						trouble.change(r, host, false)
						c.pass(r, stableWindow)
						r.change()
						c.pass(r, applyTime)
						old, answered = r.arrivalsAfterChange(0, 1, 2, 3, 4, 5)
						violations = r.site.ExecutionLog.Violations()
					})
					Convey("Every host has the next change in force within three seconds", t, func() {
						So(old, ShouldEqual, 0)
						So(violations, ShouldBeEmpty)
						So(answered, ShouldEqual, 6*30)
					})
				})
			}
		}
	}
}

// TestOneHostChecksTheStore runs fifteen hosts in three data centres on a store where nothing changes, and then stops the host that
// asks for the store's present revision. If none did, a missed change would stay unknown; if all did, calls would grow with hosts.
func TestOneHostChecksTheStore(t *testing.T) {
	const period = 20 * time.Second
	var first, later map[string]bool
	checks := 0
	inRig(t, func(r *rig) {
		for i := range 12 {
			r.add(fmt.Sprintf("more-%d", i), DataCentres[i%len(DataCentres)])
		}
		time.Sleep(10 * time.Second)
		r.site.Store.Checkers()
		before := r.site.Store.Calls()["check"]
		time.Sleep(period)
		checks = r.site.Store.Calls()["check"] - before
		first = r.site.Store.Checkers()
		for i := range r.hosts {
			if first[r.hosts[i].settings.ID] {
				r.leave(i)
			}
		}
		r.site.Store.Checkers()
		time.Sleep(period)
		later = r.site.Store.Checkers()
	})
	Convey("One host asks about every two seconds, and another one takes its place", t, func() {
		So(first, ShouldHaveLength, 1)
		So(later, ShouldHaveLength, 1)
		So(later, ShouldNotResemble, first)
		So(checks, ShouldBeBetweenOrEqual, int(period/(2*time.Second)), int(period/(1500*time.Millisecond)))
	})
}

// TestForeignChangesCostFewChecks changes objects of a kind that no host watches all the time. No watch accounts for these changes. A
// change that all watches miss meanwhile is in force in time all the same.
func TestForeignChangesCostFewChecks(t *testing.T) {
	const period = 30 * time.Second
	checks, old, answered := 0, 0, 0
	inRig(t, func(r *rig) {
		must(r.t, r.site.AddService("later", 3, 10*time.Millisecond))
		r.site.Apply()
		time.Sleep(10 * time.Second)
		before := r.site.Store.Calls()["check"]
		for n := range int(period / (100 * time.Millisecond)) {
			r.site.Store.Put("leases", fmt.Sprintf("lease-%d", n%10), n)
			time.Sleep(100 * time.Millisecond)
		}
		checks = r.site.Store.Calls()["check"] - before
		r.site.Store.LoseWatchAnswers(true)
		r.change()
		time.Sleep(100 * time.Millisecond)
		r.site.Store.LoseWatchAnswers(false)
		for range 29 {
			r.site.Store.Put("leases", "lease", 0)
			time.Sleep(100 * time.Millisecond)
		}
		old, answered = r.arrivalsAfterChange(0, 1, 2)
	})
	Convey("Three watchers make fewer than three calls in a second, and the change is in force", t, func() {
		So(checks, ShouldBeLessThan, 3*int(period/time.Second))
		So(old, ShouldEqual, 0)
		So(answered, ShouldEqual, 3*30)
	})
}

// TestStaleListsTakeNothingBack takes a data centre out and adds a server, while stale lists return what was before. A host that
// takes what such a list lacks for removed puts the data centre back in service, and drops the server for good.
func TestStaleListsTakeNothingBack(t *testing.T) {
	for _, c := range staleCases {
		t.Run(c.name, func(t *testing.T) {
			var violations map[string]int
			arrivals, answered := 0, 0
			inRig(t, func(r *rig) {
				time.Sleep(12 * time.Second)
				r.site.Store.SetStaleReads(c.age, c.presentAsOf)
				r.site.Evacuate("west")
				_, err := r.site.AddServer("desk", "desk-new", "east", 5*time.Millisecond)
				must(r.t, err)
				c.pass(r, 6*time.Second)
				before := r.site.ExecutionLog.ArrivalsAt("desk-new")
				for i := range r.hosts {
					answered += r.load(i, oneHost, 60, 10*time.Millisecond).statuses[200]
				}
				arrivals = r.site.ExecutionLog.ArrivalsAt("desk-new") - before
				violations = r.site.ExecutionLog.Violations()
			})
			Convey("The data centre stays out, and the server is in use", t, func() {
				So(violations, ShouldBeEmpty)
				So(arrivals, ShouldBeGreaterThan, 0)
				So(answered, ShouldEqual, 3*60)
			})
		})
	}
}
