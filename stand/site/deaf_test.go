package site

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestDeafWatchesDelayNoChange makes watches of the store return nothing on all hosts, as after a lost answer, while lists are
// answered. A host whose pings are answered has no other sign that it misses changes; meanwhile it may hear those of another
// kind, or none at all.
func TestDeafWatchesDelayNoChange(t *testing.T) {
	cases := []struct {
		name string
		// stalled are the kinds whose watches return nothing; none stands for all.
		stalled []string
		// churn changes what the other watches hear, if set.
		churn func(r *rig, n int)
	}{
		{name: "all kinds"},
		{name: "configuration", stalled: []string{"config"}},
		{name: "configuration, while servers change", stalled: []string{"config"}, churn: func(r *rig, n int) {
			r.site.Register(fmt.Sprintf("desk-%d", n%6), "ready", 0)
		}},
		{name: "servers", stalled: []string{"servers"}},
		{name: "servers, while the configuration changes", stalled: []string{"servers"}, churn: func(r *rig, _ int) { r.site.Apply() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var violations map[string]int
			oldArrivals, answered := 0, 0
			inRig(t, func(r *rig) {
				must(r.t, r.site.AddService("later", 3, 10*time.Millisecond))
				for i := range 3 {
					r.add(fmt.Sprintf("more-%d", i), "east")
				}
				r.site.Apply()
				time.Sleep(10 * time.Second)
				for i := range r.hosts {
					r.site.Store.Stall(r.hosts[i].settings.ID, c.stalled...)
				}
				r.site.Config.Routes[1].Service = "later"
				r.site.Apply()
				r.site.Drain("sh-a-0", false)
				r.site.Drain("sh-b-0", true)
				for n := range 10 {
					time.Sleep(300 * time.Millisecond)
					if c.churn != nil {
						c.churn(r, n)
					}
				}
				before := r.site.ExecutionLog.Arrivals("desk")
				for i := range r.hosts {
					ones := r.load(i, oneHost, 10, 10*time.Millisecond)
					searches := r.load(i, searchHost, 20, 10*time.Millisecond)
					answered += ones.statuses[200] + searches.statuses[200]
				}
				oldArrivals = r.site.ExecutionLog.Arrivals("desk") - before
				violations = r.site.ExecutionLog.Violations()
			})
			Convey("Every host has the changes in force within three seconds", t, func() {
				So(oldArrivals, ShouldEqual, 0)
				So(violations, ShouldBeEmpty)
				So(answered, ShouldEqual, 6*30)
			})
		})
	}
}
