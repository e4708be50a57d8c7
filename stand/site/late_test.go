package site

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestLateRegistrationsBringNoServerBack lets the store execute a server's write after the removal of its entry. The entry is there
// again, though its server leaves, until the platform removes it for silence; that of a live server stays.
func TestLateRegistrationsBringNoServerBack(t *testing.T) {
	// silenceTime is the time after which the platform removes the entry of a server that writes nothing.
	const silenceTime = 3600 * time.Millisecond
	cases := []struct {
		name  string
		alive bool
	}{
		{name: "the server has left"},
		{name: "the server lives", alive: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			soon, later := 0, 0
			inRig(t, func(r *rig) {
				r.site.Register("desk-0", "ready", 0)
				time.Sleep(2 * time.Second)
				r.site.Drain("desk-0", true)
				time.Sleep(2 * time.Second)
				r.site.RegisterLate("desk-0")
				time.Sleep(time.Second)
				before := r.site.ExecutionLog.ArrivalsAt("desk-0")
				r.load(0, oneHost, 100, 20*time.Millisecond)
				soon = r.site.ExecutionLog.ArrivalsAt("desk-0") - before
				time.Sleep(silenceTime - 3*time.Second)
				if !c.alive {
					r.site.Store.Delete("servers", "desk-0")
				}
				time.Sleep(5 * time.Second)
				before = r.site.ExecutionLog.ArrivalsAt("desk-0")
				r.load(0, oneHost, 100, 20*time.Millisecond)
				later = r.site.ExecutionLog.ArrivalsAt("desk-0") - before
			})
			Convey("It gets nothing until its entry has outlasted the silence of a dead one", t, func() {
				So(soon, ShouldEqual, 0)
				So(later > 0, ShouldEqual, c.alive)
			})
		})
	}
}
