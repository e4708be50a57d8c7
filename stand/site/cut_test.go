package site

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestRemovalsAfterACutAreNotHeldForTooLong guards against requests that reach a removed server. All hosts are cut off from the store,
// and shortly after the end of the cut the entry of a server is removed. Hosts hold removals then, since servers may register again that
// could not do so during an outage; one whose last failed ping ends after the cut must not hold them beyond the time from which it is in
// touch again.
func TestRemovalsAfterACutAreNotHeldForTooLong(t *testing.T) {
	const (
		cut          = 4 * time.Second
		removalAfter = 900 * time.Millisecond
		// inTouch is the time after the end of the cut from which the bounds hold for a host.
		inTouch = 4 * time.Second
		cuts    = 5
	)
	var late [cuts]int
	served := 0
	inRig(t, func(r *rig) {
		for n := range cuts {
			server := fmt.Sprintf("desk-%d", n)
			// Each cut ends at another moment of the period of pings.
			time.Sleep(2*settleTime + time.Duration(n)*time.Second/cuts)
			for i := range r.hosts {
				r.site.Store.Mute(r.hosts[i].settings.ID, true)
			}
			time.Sleep(cut)
			for i := range r.hosts {
				r.site.Store.Mute(r.hosts[i].settings.ID, false)
			}
			time.Sleep(removalAfter)
			r.site.Drain(server, true)
			time.Sleep(inTouch - removalAfter)
			before := r.site.ExecutionLog.ArrivalsAt(server)
			for _, result := range r.loadAll(len(r.hosts), oneHost, 60) {
				served += result.statuses[200]
			}
			late[n] = r.site.ExecutionLog.ArrivalsAt(server) - before
			r.site.Undrain(server)
		}
	})
	Convey("No request reaches the server once the hosts are in touch again", t, func() {
		So(late, ShouldResemble, [cuts]int{})
		So(served, ShouldBeGreaterThan, cuts*60)
	})
}
