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
	// watchersPerDataCentre is the number of hosts in each data centre that watch the store.
	watchersPerDataCentre = 2
	// minBackoff and maxBackoff bound the backoff after a failed call, before jitter.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
	// electionCheckPeriod is the time between two checks whether this host has been elected as a watcher.
	electionCheckPeriod = 500 * time.Millisecond
)

// Store is a store of configuration objects that reports changes.
type Store interface {
	// Watch returns the objects that changed after a revision, and the revision that includes these changes.
	// If there is no change it waits for one, and returns no objects when that takes too long.
	// With after == 0 it returns all objects at once.
	Watch(ctx context.Context, after uint64) (objects []StoredObject, revision uint64, err error)
}

// StoredObject is an object as read from the store; Value is its encoded form.
type StoredObject struct {
	Key   string
	Value []byte
}

// watcher watches the store while this host is among the watchers of its data centre.
type watcher struct {
	store  Store
	syncer *Syncer
	// wakeups ends the wait for the next election check early.
	wakeups chan struct{}
}

// wake starts the next election check at once.
func (w *watcher) wake() {
	select {
	case w.wakeups <- struct{}{}:
	default:
	}
}

// errWentBack reports a reply with an older revision than the known one: a stale read, or the store has returned from an older copy.
var errWentBack = errors.New("the store's revision went back")

// run reads the store once at the start, and again when its revision went back, and otherwise watches it while this host is elected.
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
			if revision > 0 {
				backoff = minBackoff
			}
			revision = next
			continue
		}
		if errors.Is(err, errWentBack) {
			w.syncer.journal.Record("spread", "store", "read anew", err.Error())
			revision = 0
		}
		_ = timer.Sleep(ctx, jitter(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
	return nil
}

// watchOnce waits for changes after a revision, applies them and returns the new revision.
// The error is errWentBack if that is older. Objects that cannot be decoded are recorded and skipped.
func (w *watcher) watchOnce(ctx context.Context, after uint64) (uint64, error) {
	stored, revision, err := w.store.Watch(ctx, after)
	if err != nil {
		return 0, err
	}
	if revision < after {
		return 0, errors.Wrapf(errWentBack, "revision %d after %d", revision, after)
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

// jitter returns a random duration between d/2 and 3*d/2, so that hosts do not reconnect all at once after an outage.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// elected reports whether this host is among the watchers of its data centre, which are chosen by rendezvous hashing.
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
