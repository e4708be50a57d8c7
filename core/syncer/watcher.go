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
	// watchersPerCentre is the number of hosts of a data centre that watch the store.
	watchersPerCentre = 2
	// backoffMin and backoffMax bound the wait after a failed watch.
	backoffMin = 200 * time.Millisecond
	backoffMax = 5 * time.Second
	// idlePeriod is the time between two looks at whether this host has become a watcher.
	idlePeriod = 500 * time.Millisecond
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
	wakened chan struct{}
}

func (w *watcher) wake() {
	select {
	case w.wakened <- struct{}{}:
	default:
	}
}

// run reads the store once at the start and then watches it whenever this host is chosen.
func (w *watcher) run(ctx context.Context) error {
	ticks := w.syncer.timer.Subscribe(ctx, idlePeriod)
	revision, backoff := uint64(0), backoffMin
	for ctx.Err() == nil {
		if revision > 0 && !w.chosen() {
			select {
			case <-ctx.Done():
			case <-ticks:
			case <-w.wakened:
			}
			continue
		}
		next, err := w.step(ctx, revision)
		if err == nil {
			revision, backoff = next, backoffMin
			continue
		}
		_ = timer.Sleep(ctx, jittered(backoff))
		backoff = min(2*backoff, backoffMax)
	}
	return nil
}

// step waits for one set of changes. A reply older than what was read before is a stale read.
func (w *watcher) step(ctx context.Context, after uint64) (uint64, error) {
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
	w.syncer.offer("the store", objects)
	return revision, nil
}

// jittered returns half to one and a half of d, so that the end of an outage brings no stampede.
func jittered(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// chosen reports whether this host is among the watchers of its data centre.
func (w *watcher) chosen() bool {
	self := w.syncer.table.Self()
	var near []member.Member
	for _, m := range w.syncer.table.View().Available() {
		if m.DataCentre == self.DataCentre {
			near = append(near, m)
		}
	}
	for _, m := range member.Rank(near, "watch/"+self.DataCentre, watchersPerCentre) {
		if m.ID == self.ID {
			return true
		}
	}
	return false
}
