package site

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestQuietKindsAreNotListedAnew changes the configuration for three times as long as the store keeps its changes, while no data
// centre is taken out or brought back. The store would no longer keep the changes since a watch began that waits for too long.
func TestQuietKindsAreNotListedAnew(t *testing.T) {
	var before, after map[string]int
	inRig(t, func(r *rig) {
		before = r.site.Store.Calls()
		for range 30 {
			r.site.Apply()
			time.Sleep(2 * time.Second)
		}
		after = r.site.Store.Calls()
	})
	Convey("No list is made", t, func() { So(after["list"], ShouldEqual, before["list"]) })
}
