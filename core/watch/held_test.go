package watch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"magnoliaworks/core/topo"
	"magnoliaworks/core/trace"
)

// entryDecoder decodes each entry as that of a server that is ready.
type entryDecoder struct{ noDecoder }

func (entryDecoder) Server(string, []byte, time.Time) (Registration, error) {
	return Registration{
		Sequence: 1,
	}, nil
}

// TestHeldRemovalsOutliveOlderRegistrations guards against requests that reach a removed server for ever: one answer of a watch after an
// outage brings a registration of a server and its later removal. The removal is held, and the registration that is applied after it in
// that answer must not cancel it, since no watch brings it again.
func TestHeldRemovalsOutliveOlderRegistrations(t *testing.T) {
	cases := []struct {
		name    string
		objects []Object
		want    bool
	}{
		{
			name:    "registered, then removed",
			objects: []Object{{Name: "s", Revision: 11}, {Name: "s", Revision: 12, Deleted: true}},
		},
		{
			name:    "removed, then registered",
			objects: []Object{{Name: "s", Revision: 11, Deleted: true}, {Name: "s", Revision: 12}},
			want:    true,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			heldFor, inUse := false, false
			synctest.Test(t, func(*testing.T) {
				w := New(Options{
					State:   topo.NewCurrent(),
					Decoder: entryDecoder{},
					Journal: trace.NewJournal(hclog.NewNullLogger()),
				})
				w.applyChanges(Servers, Changes{Revision: 10, Objects: []Object{{Name: "s", Revision: 10}}}, byWatch)
				w.handlePing(errors.New("no answer"))
				w.handlePing(nil)
				w.applyChanges(Servers, Changes{Revision: 12, Objects: c.objects}, byWatch)
				w.releaseDue(time.Now())
				_, heldFor = w.registrations["s"]
				time.Sleep(reregisterTime + holdCheckPeriod)
				w.releaseDue(time.Now())
				_, inUse = w.registrations["s"]
			})
			Convey("The server is in use while it may register again, and then only if it has", t, func() {
				So(heldFor, ShouldBeTrue)
				So(inUse, ShouldEqual, c.want)
			})
		})
	}
}
