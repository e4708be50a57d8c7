package watch

import (
	"context"
	"slices"
	"time"

	"magnoliaworks/core/member"
	"magnoliaworks/core/timer"
)

const (
	// directWatchTime is the time for which a host watches the store itself when no other host feeds it.
	directWatchTime = 10 * time.Second
	// roleCheckPeriod is the time between two checks whether this host has to watch the store or follow other hosts.
	roleCheckPeriod = 250 * time.Millisecond
	// followerPatience is the time for which a follower waits for a feed before it watches the store itself. Meanwhile the
	// substitutes begin to feed it, and it catches up with what hosts of other data centres announce.
	followerPatience = 3 * time.Second
	// firstFeedPatience is the time for which a starting substitute waits for a feed, since watchers that start with it have to
	// list the store first.
	firstFeedPatience = time.Second
	// substitutePatience is the time for which a substitute goes on asking once nobody feeds it: watchers feed no host while they list the
	// store anew.
	substitutePatience = 500 * time.Millisecond
	// feedRetryPeriod is the time between two rounds of asking for a feed while the store doesn't answer this host either.
	feedRetryPeriod = 500 * time.Millisecond
)

// followPeers applies the feeds of the hosts that watch the store for this one. If none answers, it falls back to the
// store.
func (w *Watcher) followPeers(ctx context.Context) error {
	var position Position
	var feeder string
	var unfedFrom time.Time
	fed := false
	w.recordFed()
	for ctx.Err() == nil {
		others, role := w.membership.Watchers()
		if !w.membership.Settled() || w.watchesStore() || len(others) == 0 {
			unfedFrom = time.Time{}
			w.recordFed()
			_ = timer.Sleep(ctx, roleCheckPeriod)
			continue
		}
		next, from, ok := w.pollPeers(ctx, startingWith(others, feeder), position)
		if ok {
			position, feeder, fed, unfedFrom = next, from, true, time.Time{}
			w.recordFed()
			continue
		}
		position = Position{}
		if unfedFrom.IsZero() {
			unfedFrom = time.Now()
		}
		now, waits := time.Now(), false
		switch {
		case role == RoleFollower:
			waits = w.sinceFed(now) < followerPatience
		case !fed:
			waits = w.sinceFed(now) < firstFeedPatience
		default:
			waits = now.Sub(unfedFrom) < substitutePatience
		}
		if waits {
			_ = timer.Sleep(ctx, roleCheckPeriod)
			continue
		}
		if !w.mayCallStore(ctx) {
			_ = timer.Sleep(ctx, feedRetryPeriod)
			continue
		}
		w.journal.Record("follow", "store", "watched directly", "none of the hosts that watch it for this one answers")
		w.directWatchUntil.Store(time.Now().Add(directWatchTime).UnixNano())
	}
	return nil
}

// recordFed records that another host feeds this one, or that none has to.
func (w *Watcher) recordFed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fedAt, w.contact = time.Now(), contact{}
}

// sinceFed returns the time since another host has fed this one.
func (w *Watcher) sinceFed(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.fedAt)
}

// startingWith moves the member with an ID to the front, so that a host that does not answer is not asked again each time.
func startingWith(members []member.Member, id string) []member.Member {
	i := slices.IndexFunc(members, func(m member.Member) bool { return m.ID == id })
	if i <= 0 {
		return members
	}
	first := members[i]
	return append([]member.Member{first}, slices.Delete(members, i, i+1)...)
}

// pollPeers asks one host after the other for changes until one answers, and applies them. It returns the new position
// and the ID of the host that answered; ok is false if none did, unless ctx has ended.
func (w *Watcher) pollPeers(ctx context.Context, others []member.Member, after Position) (next Position, from string, ok bool) {
	for _, m := range others {
		callCtx, cancel := context.WithTimeout(ctx, feedTimeout)
		update, err := w.peers.Feed(callCtx, m, after, w.proven(), feedWait)
		cancel()
		if err == nil {
			w.applyUpdate(update)
			return update.Position, m.ID, true
		}
		if ctx.Err() != nil {
			return after, m.ID, true
		}
	}
	return after, "", false
}

// applyUpdate applies an update from another host's feed. It holds no removals, since the host that watches the store
// holds them before they enter its feed.
func (w *Watcher) applyUpdate(update Update) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for kind := range w.kinds {
		w.recordEra(update.Revisions[kind])
		var removed []Object
		if update.Full {
			removed = w.cache.removals(kind, update.Objects[kind], update.Revisions[kind])
		}
		w.recordClaim(kind, update.Revisions[kind], time.Time{})
		w.cache.learn(kind, nil, update.Revisions[kind])
		w.applyNewer(kind, append(removed, stated(update.Objects[kind], update.After[kind])...), byHost)
	}
}

// stated returns the objects without those whose values were left out, since they are known up to a revision.
func stated(objects []Object, known uint64) []Object {
	return slices.DeleteFunc(objects, func(o Object) bool { return o.Revision <= known && len(o.Value) == 0 })
}

// newerThan returns the objects with a newer revision.
func newerThan(objects []Object, revision uint64) []Object {
	return slices.DeleteFunc(objects, func(o Object) bool { return o.Revision <= revision })
}
