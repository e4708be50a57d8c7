package beacon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/timer"
	"magnoliaworks/core/trace"
)

// fakeFleet joins no host; others are known from the time of meeting on.
type fakeFleet struct{ meeting time.Time }

func (f *fakeFleet) Alone() bool                        { return time.Now().Before(f.meeting) }
func (f *fakeFleet) Knows(string) bool                  { return false }
func (f *fakeFleet) ChecksStore() bool                  { return true }
func (f *fakeFleet) Join(context.Context, string) error { return errors.New("not reached") }

// fakeStore holds no beacon but counts the calls; changes fail if it refuses them.
type fakeStore struct {
	refuses             bool
	lists, puts, remove int
}

func (s *fakeStore) List(context.Context) ([]Beacon, error) {
	s.lists++
	return nil, nil
}

func (s *fakeStore) Put(context.Context, Beacon) error {
	s.puts++
	return s.result()
}

func (s *fakeStore) Remove(context.Context, Beacon) error {
	s.remove++
	return s.result()
}

func (s *fakeStore) result() error {
	if s.refuses {
		return errors.New("refused")
	}
	return nil
}

// TestCallsOfBeacons counts the calls of a host in a minute, in which it may meet another one. Refused calls cost as much as others.
func TestCallsOfBeacons(t *testing.T) {
	cases := []struct {
		name    string
		meeting time.Duration
		refuses bool
		// The numbers of calls are these at most; a change of the store is not repeated if it was accepted.
		lists, puts, removes int
	}{
		{name: "in a fleet from the start", lists: 12},
		{name: "meets another host after 10 s", meeting: 10 * time.Second, lists: 14, puts: 1, removes: 1},
		{name: "meets another host after 10 s, the store refuses changes", meeting: 10 * time.Second, refuses: true, lists: 14, puts: 1, removes: 9},
		{name: "alone, lists lack its beacon", meeting: time.Hour, lists: 10, puts: 4, removes: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store := &fakeStore{
				refuses: c.refuses,
			}
			synctest.Test(t, func(*testing.T) {
				service := timer.New()
				fleet := &fakeFleet{
					meeting: time.Now().Add(c.meeting),
				}
				keeper := New(Beacon{ID: "h", Address: "10.0.0.1:7"}, store, fleet, service, trace.NewJournal(hclog.NewNullLogger()))
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				var group errgroup.Group
				group.Go(func() error { return service.Run(ctx) })
				group.Go(func() error { return keeper.Run(ctx) })
				_ = group.Wait()
			})
			Convey("The calls are bounded", t, func() {
				So(store.lists, ShouldBeLessThanOrEqualTo, c.lists)
				So(store.puts, ShouldBeLessThanOrEqualTo, c.puts)
				So(store.remove, ShouldBeLessThanOrEqualTo, c.removes)
				So(store.lists, ShouldBeGreaterThan, 0)
				So(store.puts > 0, ShouldEqual, c.puts > 0)
				So(store.remove > 0, ShouldEqual, c.removes > 0)
			})
		})
	}
}
