package site

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// writeAgain writes what the operator and the live servers wrote, as they do within seconds of the store's return.
func (r *rig) writeAgain(servers ...string) {
	for _, id := range servers {
		r.site.Register(id, "ready", 0)
	}
	r.site.Store.Put("config", "main", r.site.Config)
}

// shardServers returns the IDs of the servers of the shards.
func shardServers() []string {
	var ids []string
	for _, shard := range []string{"sh-a", "sh-b", "sh-c", "sh-d"} {
		for n := range 3 {
			ids = append(ids, fmt.Sprintf("%s-%d", shard, n))
		}
	}
	return ids
}

// TestChangesAfterAReturnTakeEffect guards against hosts that take the changes of a store that has returned from an older copy for
// known, since their revisions are lower than those that the hosts know, or stood for something else.
func TestChangesAfterAReturnTakeEffect(t *testing.T) {
	cases := []struct {
		name string
		away time.Duration
		// lost is the number of writes that the copy lacks, and given the number that follow the return.
		lost  int
		given int
	}{
		{name: "a moment, revisions stay below", away: 100 * time.Millisecond, lost: 200, given: 3},
		{name: "a moment, revisions are given out again", away: 100 * time.Millisecond, lost: 20, given: 19},
		{name: "a moment, revisions overtake", away: 100 * time.Millisecond, lost: 20, given: 60},
		{name: "three seconds", away: 3 * time.Second, lost: 40, given: 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			late, old, answered := 0, 0, 0
			var violations map[string]int
			inRig(t, func(r *rig) {
				must(r.t, r.site.AddService("later", 3, 10*time.Millisecond))
				for i := range 3 {
					r.add(fmt.Sprintf("more-%d", i), "east")
				}
				r.site.Apply()
				time.Sleep(12 * time.Second)
				stored := r.site.Store.Copy()
				for n := range c.lost {
					r.site.Register(fmt.Sprintf("desk-%d", 1+n%5), "ready", 0)
				}
				time.Sleep(2 * time.Second)
				r.site.Store.ReturnFrom(stored, c.away)
				for n := range c.given {
					r.site.Register(fmt.Sprintf("desk-%d", 1+n%5), "ready", 0)
				}
				time.Sleep(4 * time.Second)
				r.site.Drain("desk-0", true)
				r.site.Drain("sh-a-0", true)
				r.change()
				time.Sleep(3 * time.Second)
				before := r.site.ExecutionLog.ArrivalsAt("desk-0") + r.site.ExecutionLog.ArrivalsAt("sh-a-0")
				old, answered = r.arrivalsAfterChange(0, 1, 2, 3, 4, 5)
				late = r.site.ExecutionLog.ArrivalsAt("desk-0") + r.site.ExecutionLog.ArrivalsAt("sh-a-0") - before
				violations = r.site.ExecutionLog.Violations()
			})
			Convey("Every host has the changes in force within three seconds", t, func() {
				So(late, ShouldEqual, 0)
				So(old, ShouldEqual, 0)
				So(violations, ShouldBeEmpty)
				So(answered, ShouldEqual, 6*30)
			})
		})
	}
}

// TestAReturnTakesNothingBack guards against hosts that follow an older copy of the store before the operator and the servers have
// written again: they would use an older configuration and servers that have left, and lose those that have come.
func TestAReturnTakesNothingBack(t *testing.T) {
	cases := []struct {
		name    string
		returns int
	}{
		{name: "once", returns: 1},
		{name: "three times", returns: 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			gone, old, answered, asked := 0, 0, 0, 0
			inRig(t, func(r *rig) {
				must(r.t, r.site.AddService("later", 3, 10*time.Millisecond))
				for i := range 3 {
					r.add(fmt.Sprintf("more-%d", i), "east")
				}
				r.site.Apply()
				time.Sleep(12 * time.Second)
				stored := r.site.Store.Copy()
				r.change() // The route leads to the service later.
				r.site.Drain("sh-a-0", false)
				r.site.Drain("sh-b-1", true)
				_, err := r.site.AddServer("later", "later-3", "east", 10*time.Millisecond)
				must(r.t, err)
				time.Sleep(5 * time.Second)
				for range c.returns {
					r.site.Store.ReturnFrom(stored, 200*time.Millisecond)
					time.Sleep(800 * time.Millisecond)
					before := r.site.ExecutionLog.ArrivalsAt("sh-a-0") + r.site.ExecutionLog.ArrivalsAt("sh-b-1")
					late, served := r.arrivalsAfterChange(0, 1, 2, 3, 4, 5)
					old, answered, asked = old+late, answered+served, asked+6*30
					gone += r.site.ExecutionLog.ArrivalsAt("sh-a-0") + r.site.ExecutionLog.ArrivalsAt("sh-b-1") - before
					r.writeAgain(append(shardServers()[1:], "later-0", "later-1", "later-2", "later-3")...)
					r.site.Store.Delete("servers", "sh-b-1")
					r.site.Drain("sh-a-0", false)
					time.Sleep(10 * time.Second)
					late, served = r.arrivalsAfterChange(0, 1, 2, 3, 4, 5)
					old, answered, asked = old+late, answered+served, asked+6*30
				}
			})
			Convey("The newer configuration stays in force, and servers that have left get nothing", t, func() {
				So(old, ShouldEqual, 0)
				So(gone, ShouldEqual, 0)
				So(answered, ShouldEqual, asked)
			})
		})
	}
}

// TestAReturnEndsNoEvacuation lets the store return from a copy that lacks an evacuation. The data centre gets nothing before the
// operator has written it again, and none once the operator does not write it again within the time for that.
func TestAReturnEndsNoEvacuation(t *testing.T) {
	during, after := 0, 0
	var violations map[string]int
	inRig(t, func(r *rig) {
		stored := r.site.Store.Copy()
		r.site.Evacuate("east")
		time.Sleep(6 * time.Second)
		r.site.Store.ReturnFrom(stored, 200*time.Millisecond)
		time.Sleep(time.Second)
		before := r.site.ExecutionLog.Arrivals("desk")
		r.load(1, oneHost, 60, 20*time.Millisecond)
		during = r.site.ExecutionLog.Arrivals("desk") - before
		violations = r.site.ExecutionLog.Violations()
		r.site.EndEvacuation("east")
		time.Sleep(15 * time.Second)
		east := r.site.ExecutionLog.ArrivalsAt("desk-0")
		r.load(0, oneHost, 60, 20*time.Millisecond)
		after = r.site.ExecutionLog.ArrivalsAt("desk-0") - east
	})
	Convey("The data centre gets nothing while the evacuation lasts, and requests again afterwards", t, func() {
		So(violations, ShouldBeEmpty)
		So(during, ShouldBeGreaterThan, 0)
		So(after, ShouldBeGreaterThan, 0)
	})
}

// TestStaleReadsAfterAReturnAreWhole guards against a stand-in whose stale lists lack what the copy holds, so that hosts that start miss
// servers which no watch brings.
func TestStaleReadsAfterAReturnAreWhole(t *testing.T) {
	Convey("A stale list holds the copied objects", t, func() {
		store := NewObjectStore()
		store.Put("servers", "a", 1)
		store.Put("servers", "b", 1)
		copied := store.Copy()
		store.Delete("servers", "a")
		store.Put("servers", "c", 1)
		store.ReturnFrom(copied, 0)
		store.SetStaleReads(10*time.Second, false)
		objects, revision := store.listed("servers", true)
		So(objects, ShouldHaveLength, 2)
		So(objects, ShouldContainKey, "a")
		So(revision, ShouldEqual, copied.revision)
	})
}
