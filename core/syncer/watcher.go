package syncer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/core/config"
	"magnoliaworks/core/member"
	"magnoliaworks/core/timer"
)

const (
	// watchersPerDataCentre is the number of hosts of a data centre that watch the store.
	watchersPerDataCentre = 2
	// minBackoff and maxBackoff bound the wait after a failed watch.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
	// electionCheckPeriod is the time between two looks at whether this host has become a watcher.
	electionCheckPeriod = 500 * time.Millisecond
)

// Store is a store that tells of changes.
type Store interface {
	// Watch returns the stored objects that changed after a revision and the revision they lead to.
	// It waits a while for a change and then returns none; revision 0 returns all objects at once.
	Watch(ctx context.Context, after uint64) (objects []StoredObject, revision uint64, err error)
}

// StoredObject is one object as the store returned it.
type StoredObject struct {
	Key   string
	Value []byte
}

// watcher watches the store while this host is one of the chosen ones of its data centre.
type watcher struct {
	store   Store
	syncer  *Syncer
	wakeups chan struct{}
}

func (w *watcher) wake() {
	select {
	case w.wakeups <- struct{}{}:
	default:
	}
}

// run reads the store once at the start and then watches it whenever this host is chosen.
func (w *watcher) run(ctx context.Context) error {
	ticks := w.syncer.timer.Subscribe(ctx, electionCheckPeriod)
	revision, backoff := uint64(0), minBackoff
	for ctx.Err() == nil {
		if revision > 0 && !w.elected() {
			select {
			case <-ctx.Done():
			case <-ticks:
			case <-w.wakeups:
			}
			continue
		}
		next, err := w.watchOnce(ctx, revision)
		if err == nil {
			revision, backoff = next, minBackoff
			continue
		}
		_ = timer.Sleep(ctx, jitter(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
	return nil
}

// watchOnce waits for one set of changes. A reply older than what was read before is a stale read.
func (w *watcher) watchOnce(ctx context.Context, after uint64) (uint64, error) {
	stored, revision, err := w.store.Watch(ctx, after)
	if err != nil {
		return 0, err
	}
	if revision < after {
		return 0, errors.Errorf("watch returned revision %d after %d", revision, after)
	}
	var objects []config.Object
	for _, s := range stored {
		o, err := config.Decode(s.Key, s.Value)
		if err != nil {
			w.syncer.journal.Record("spread", s.Key, "object ignored", err.Error())
			continue
		}
		objects = append(objects, o)
	}
	w.syncer.apply("the store", objects)
	return revision, nil
}

// jitter returns half to one and a half of d, so that the end of an outage brings no stampede.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// elected reports whether this host is among the watchers of its data centre.
func (w *watcher) elected() bool {
	self := w.syncer.table.Self()
	var local []member.Member
	for _, m := range w.syncer.table.View().Available() {
		if m.DataCentre == self.DataCentre {
			local = append(local, m)
		}
	}
	for _, m := range member.Rank(local, "watch/"+self.DataCentre, watchersPerDataCentre) {
		if m.ID == self.ID {
			return true
		}
	}
	return false
}
