package magnoliaworks

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"magnoliaworks/core/config"
	"magnoliaworks/core/query"
)

// TestNoRequestIsInvalidBeforeRoutesAreBuilt sends a request to a host that has received its configuration but has not built
// the routing table yet. The request must not be refused as invalid, and the host is not ready.
func TestNoRequestIsInvalidBeforeRoutesAreBuilt(t *testing.T) {
	host, err := New()
	if err != nil {
		t.Fatal(err)
	}
	host.config.Merge(config.Object{
		Scope:   config.CollectionScope("charts"),
		Version: 1,
		Collection: &config.Collection{
			Name: "charts",
		},
	})
	send := func() error {
		_, err := host.Request(context.Background(), query.Request{
			Collection: "maps",
		})
		return err
	}
	Convey("Before, the request has not run; after, an unknown collection is invalid", t, func() {
		reason, ready := host.Ready()
		So(ready, ShouldBeFalse)
		So(reason, ShouldEqual, "the routing table has not been built yet")
		So(send(), ShouldHaveSameTypeAs, query.NotRun{})
		host.rebuildRoutes()
		_, ready = host.Ready()
		So(ready, ShouldBeTrue)
		So(send(), ShouldHaveSameTypeAs, query.Invalid{})
	})
}
