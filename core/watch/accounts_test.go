package watch

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestAccountsHideNoChange gives a host the changes of each kind at random: some by watches, which bring all up to a revision, some
// alone, as stale lists do, and some never. A kind that counts as known up to a revision of which it lacks a change would never be
// asked for that change again.
func TestAccountsHideNoChange(t *testing.T) {
	const (
		seeds   = 300
		changes = 200
	)
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 1))
		c := newObjectCache()
		// step is the largest step of the store's counter; gaps account for nothing.
		step := 1 + random.Uint64N(2)
		kinds := make(map[uint64]Kind)
		received := make(map[uint64]bool)
		var revision uint64
		skipped := 0
		for range changes {
			revision += 1 + random.Uint64N(step)
			kind := Kind(random.IntN(int(kindCount)))
			kinds[revision] = kind
			switch random.IntN(4) {
			case 0: // The change is lost.
			case 1:
				received[revision] = true
				c.learn(kind, []Object{{Name: "o", Revision: revision}}, 0)
			default:
				var objects []Object
				for r, k := range kinds {
					if k == kind && r > c.revisions[kind] {
						received[r] = true
						objects = append(objects, Object{Name: fmt.Sprint(r), Revision: r})
					}
				}
				before := c.revisions[kind]
				c.learn(kind, objects, revision)
				if before > 0 && c.revisions[(kind+1)%kindCount] == revision {
					skipped++
				}
			}
			for r, k := range kinds {
				if r <= c.revisions[k] && !received[r] {
					t.Fatalf("seed %d: kind %s counts as known up to revision %d without the change at %d", seed, k, c.revisions[k], r)
				}
			}
		}
		if step == 1 && skipped == 0 {
			t.Fatalf("seed %d: the changes of one kind never accounted for another one", seed)
		}
	}
}

// TestStaleListsChangeNothingKnown applies a stale list to a host that knows more: the list has an object that was removed, lacks one
// that was added after it, and states the store's present revision.
func TestStaleListsChangeNothingKnown(t *testing.T) {
	cases := []struct {
		name string
		// known is what the watch has brought up to revision 20.
		known []Object
		list  Changes
		want  map[string]uint64
	}{
		{
			name:  "lacks an object that was added",
			known: []Object{{Name: "old", Revision: 5}, {Name: "added", Revision: 18}},
			list:  Changes{Objects: []Object{{Name: "old", Revision: 5}}, Revision: 5, Stated: 30},
			want:  map[string]uint64{"old": 5, "added": 18},
		},
		{
			name:  "is empty",
			known: []Object{{Name: "added", Revision: 18}},
			list:  Changes{Stated: 30},
			want:  map[string]uint64{"added": 18},
		},
		{
			name:  "has an object that was removed before this host listed the kind",
			known: []Object{{Name: "old", Revision: 5}},
			list:  Changes{Objects: []Object{{Name: "old", Revision: 5}, {Name: "removed", Revision: 12}}, Revision: 12, Stated: 30},
			want:  map[string]uint64{"old": 5},
		},
		{
			name:  "has a newer object",
			known: []Object{{Name: "old", Revision: 5}},
			list:  Changes{Objects: []Object{{Name: "old", Revision: 5}, {Name: "new", Revision: 25}}, Revision: 25, Stated: 30},
			want:  map[string]uint64{"old": 5, "new": 25},
		},
		{
			name:  "lacks an object that has been removed since",
			known: []Object{{Name: "old", Revision: 5}},
			list:  Changes{Objects: []Object{{Name: "new", Revision: 25}}, Revision: 25, Stated: 30},
			want:  map[string]uint64{"new": 25},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newTestWatcher()
			w.applyList(Evacuations, Changes{Objects: c.known, Revision: 20, Stated: 20}, byList)
			w.applyPing(c.list)
			Convey("The host knows what it knew, and what is newer", t, func() {
				present := make(map[string]uint64)
				for name, e := range w.cache.entries[Evacuations] {
					if !e.object.Deleted {
						present[name] = e.object.Revision
					}
				}
				So(present, ShouldResemble, c.want)
				So(w.known()[Evacuations], ShouldEqual, max(20, c.list.Revision))
			})
		})
	}
}
