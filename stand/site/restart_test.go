package site

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestRestartedHostsUseNoOldState restarts a host right after a route moved and a server began to drain, while the store
// still returns the state before that to stale lists. Such a list must not come into force: other hosts know newer objects.
func TestRestartedHostsUseNoOldState(t *testing.T) {
	oldArrivals, refused, answered := 0, 0, 0
	var violations map[string]int
	var readyAfter time.Duration
	inRig(t, func(r *rig) {
		must(r.t, r.site.AddService("later", 3, 10*time.Millisecond))
		r.site.Apply()
		time.Sleep(3 * time.Second)
		r.site.Store.FreezeStaleLists()
		r.site.Config.Routes[1].Service = "later"
		r.site.Apply()
		r.site.Drain("sh-a-0", true)
		time.Sleep(4 * time.Second)
		r.leave(2)
		before := r.site.ExecutionLog.Arrivals("desk")
		started := time.Now()
		r.hosts[2] = r.start(r.hosts[2].settings)
		time.Sleep(time.Millisecond)
		for time.Since(started) < 4*time.Second {
			for _, host := range []string{oneHost, searchHost} {
				c := r.call(2)
				answer, err := c.Do(r.newRequest(host))
				must(r.t, err)
				c.Close()
				switch answer.Status {
				case 200:
					answered++
					if readyAfter == 0 {
						readyAfter = time.Since(started)
					}
				case 503:
					refused++
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
		oldArrivals = r.site.ExecutionLog.Arrivals("desk") - before
		violations = r.site.ExecutionLog.Violations()
	})
	Convey("Until it knows the present state it refuses requests, and then it serves by that state alone", t, func() {
		So(oldArrivals, ShouldEqual, 0)
		So(violations, ShouldBeEmpty)
		So(answered, ShouldBeGreaterThan, refused)
		So(readyAfter, ShouldBeLessThan, time.Second)
	})
}

// TestRestartsCostTheStoreNoLists restarts a host while the others know the state of the store.
func TestRestartsCostTheStoreNoLists(t *testing.T) {
	var before, after map[string]int
	var answered tally
	inRig(t, func(r *rig) {
		r.leave(2)
		before = r.site.Store.Calls()
		r.hosts[2] = r.start(r.hosts[2].settings)
		time.Sleep(time.Second)
		after = r.site.Store.Calls()
		answered = r.load(2, searchHost, 20, 20*time.Millisecond)
	})
	Convey("It takes the state over from them; the only stale lists are the watchers' pings", t, func() {
		So(after["list"]-before["list"], ShouldEqual, 0)
		So(after["stale"]-before["stale"], ShouldBeLessThanOrEqualTo, 3)
		So(answered.statuses[200], ShouldEqual, 20)
	})
}

// TestHostsDoNotFollowAnOldFeed makes the watches of both hosts that watch the store for a data centre return nothing,
// while a route moves and a server begins to drain. Hosts of other data centres know the changes.
func TestHostsDoNotFollowAnOldFeed(t *testing.T) {
	var violations map[string]int
	oldArrivals := 0
	inRig(t, func(r *rig) {
		must(r.t, r.site.AddService("later", 3, 10*time.Millisecond))
		for i := range 4 {
			r.add(fmt.Sprintf("more-%d", i), "east")
		}
		r.site.Apply()
		time.Sleep(10 * time.Second)
		for i := range r.hosts {
			if s := r.hosts[i].settings; s.DataCentre == "east" {
				r.site.Store.Stall(s.ID)
			}
		}
		r.site.Config.Routes[1].Service = "later"
		r.site.Apply()
		r.site.Drain("sh-a-0", false)
		time.Sleep(3 * time.Second)
		before := r.site.ExecutionLog.Arrivals("desk")
		for i := range r.hosts {
			r.load(i, oneHost, 10, 10*time.Millisecond)
			r.load(i, searchHost, 20, 40*time.Millisecond)
		}
		oldArrivals = r.site.ExecutionLog.Arrivals("desk") - before
		violations = r.site.ExecutionLog.Violations()
	})
	Convey("Every host has the changes in force within three seconds", t, func() {
		So(oldArrivals, ShouldEqual, 0)
		So(violations, ShouldBeEmpty)
	})
}

// TestFewHostsReplaceRefusedWatchers runs twelve hosts in one data centre and makes the store refuse the two that watch it
// for the others. Calls to the store must not grow with the number of hosts.
func TestFewHostsReplaceRefusedWatchers(t *testing.T) {
	const substitutes = 2
	var watching, later map[string]bool
	var violations map[string]int
	inRig(t, func(r *rig) {
		for i := range 11 {
			r.add(fmt.Sprintf("more-%d", i), "east")
		}
		time.Sleep(10 * time.Second)
		watching = r.site.Store.Watchers()
		for id := range watching {
			r.site.Store.Refuse(id)
		}
		time.Sleep(5 * time.Second)
		r.site.Drain("sh-a-0", false)
		time.Sleep(2 * time.Second)
		for i := range r.hosts {
			if r.hosts[i].settings.DataCentre == "east" {
				r.load(i, searchHost, 10, 200*time.Millisecond)
			}
		}
		later = r.site.Store.Watchers()
		violations = r.site.ExecutionLog.Violations()
	})
	Convey("Two others watch it for the data centre, and all hosts learn of changes", t, func() {
		So(len(later)-len(watching), ShouldBeLessThanOrEqualTo, substitutes)
		So(violations, ShouldBeEmpty)
	})
}
