package watch

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestFeedIsFullAfterExpiredRemovals asks for the changes after a position that is older than a removal which is no longer
// kept, as a host does that was paused for that long. An update of the changes alone would keep the removed server in use.
func TestFeedIsFullAfterExpiredRemovals(t *testing.T) {
	cases := []struct {
		name   string
		paused time.Duration
		want   bool
	}{
		{name: "removal is kept", paused: tombstoneTTL - time.Minute, want: false},
		{name: "removal has expired", paused: tombstoneTTL + time.Minute, want: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var update Update
			synctest.Test(t, func(*testing.T) {
				w := &Watcher{
					cache: newObjectCache(),
				}
				w.cache.put(Servers, Object{Name: "s", Revision: 1})
				w.cache.put(Servers, Object{Name: "other", Revision: 2})
				position := Position{Epoch: w.epoch, Sequence: w.cache.sequence}
				w.cache.put(Servers, Object{Name: "s", Revision: 3, Deleted: true})
				time.Sleep(c.paused)
				w.cache.expireTombstones(time.Now())
				update, _ = w.updateAfter(position, Revisions{})
			})
			Convey("The update is full once the removal is missing in it", t, func() {
				So(update.Full, ShouldEqual, c.want)
				removed := len(update.Objects[Servers]) == 1 && update.Objects[Servers][0].Deleted
				So(removed, ShouldEqual, !c.want)
			})
		})
	}
}
