package watch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/core/member"
)

// ErrFeedUnavailable reports that a host serves no feed, because it does not watch the store, can't reach it or lacks
// the revision of a kind.
var ErrFeedUnavailable = errors.New("the host serves no feed of the store")

const (
	// feedWait is the time for which a call of Feed waits for changes, and feedTimeout the timeout of such a call to
	// another host.
	feedWait    = 1500 * time.Millisecond
	feedTimeout = 2 * time.Second
)

// Role is the part that a host takes in watching the store for its data centre.
type Role int

// The roles. A substitute watches the store while no watcher feeds it, a follower only while no substitute does either.
const (
	RoleFollower Role = iota
	RoleSubstitute
	RoleWatcher
)

// Position is a position in the feed of one host.
type Position struct {
	// Epoch identifies one run of the host's process; a position of another epoch is invalid.
	Epoch uint64
	// Sequence is the number of changes up to the position; 0 is the start.
	Sequence uint64
}

// Update holds the objects of the store that changed in a host's feed after a position.
type Update struct {
	// Position is the end of the update, after which the next one starts.
	Position Position
	// Full is set when Objects holds all objects that exist, not just the changed ones.
	Full    bool
	Objects [kindCount][]Object
	// Revisions holds the store's revision up to which each kind is known.
	Revisions Revisions
	// After holds, for each kind, the revision up to which Objects lacks the values, since the receiver knows them.
	After Revisions
}

// KindCount is the number of object kinds.
const KindCount = int(kindCount)

// Membership names the hosts that watch the store for the other hosts of their data centre.
type Membership interface {
	// Watchers returns the other watchers and substitutes of this data centre, in the order in which followers ask them,
	// and the role of this host.
	Watchers() (others []member.Member, role Role)
	// Settled reports whether the view of the other hosts has settled, or this host has waited long enough for that.
	Settled() bool
	// ChecksStore reports whether this host asks the store for its present revision on behalf of the fleet.
	ChecksStore() bool
	// StoreChecker returns the host that does so; ok is false if none is known.
	StoreChecker() (checker member.Member, ok bool)
	// FleetWatchers returns the other hosts that watch the store, of all data centres.
	FleetWatchers() []member.Member
	// Others returns the other hosts that accept new work; the caller may reorder the slice.
	Others() []member.Member
}

// Peers is the client of other hosts' feeds.
type Peers interface {
	// Compare states the revisions up to which this host knows each kind, and returns what another host knows; with fetch
	// also its objects if some are newer.
	Compare(ctx context.Context, with member.Member, known Revisions, fetch bool) (Comparison, error)
	// Ping tells another host what the newest objects are that this one knows.
	Ping(ctx context.Context, to member.Member) error
	// Feed returns the changes in a host's feed after a position. If there are none, the host waits for them for up to
	// the given time and then returns an empty update. A full update lacks the values up to the known revisions.
	Feed(ctx context.Context, from member.Member, after Position, known Revisions, wait time.Duration) (Update, error)
}

// Feed returns the changes in this host's feed after a position. If there are none, it waits for them, for at most
// feedWait, and then returns an empty update. A full update lacks the values of objects up to the revisions that the other
// host knows. The error is ErrFeedUnavailable unless this host watches and reaches the store and knows a revision of every
// kind, or that of ctx if ctx ends during the wait.
func (w *Watcher) Feed(ctx context.Context, after Position, known Revisions, wait time.Duration) (Update, error) {
	waitTimer := time.NewTimer(min(wait, feedWait))
	defer waitTimer.Stop()
	for {
		if !w.watcherOrDirect() || w.sourceDown.Load() || !w.allRevisionsKnown() {
			return Update{}, ErrFeedUnavailable
		}
		update, changed := w.updateAfter(after, known)
		if update.Position != after {
			return update, nil
		}
		select {
		case <-ctx.Done():
			return Update{}, ctx.Err()
		case <-waitTimer.C:
			return update, nil
		case <-changed:
		}
	}
}

// updateAfter returns the changes after a position, and a channel that is closed at the next change. The update is full
// for the start of the feed, for positions of another epoch and for those before a removal that is no longer kept.
func (w *Watcher) updateAfter(after Position, known Revisions) (Update, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var update Update
	if after.Epoch != w.epoch || !w.cache.complete(after.Sequence) {
		update = w.fullUpdate(known)
	} else {
		update = Update{
			Objects:   w.cache.since(after.Sequence),
			Revisions: w.cache.revisions,
		}
	}
	update.Position = Position{
		Epoch:    w.epoch,
		Sequence: w.cache.sequence,
	}
	return update, w.changed
}

// fullUpdate returns all objects that exist, without the values up to the known revisions. It states no revision that includes a held
// removal, which the receiver would never hear of if it went on by a watch of its own. The caller holds mu.
func (w *Watcher) fullUpdate(known Revisions) Update {
	update := Update{
		Full:      true,
		Objects:   w.cache.since(0),
		Revisions: w.cache.revisions,
		After:     known,
	}
	for kind, held := range w.held {
		for _, removal := range held {
			update.Revisions[kind] = min(update.Revisions[kind], removal.Revision-1)
		}
	}
	for kind, objects := range update.Objects {
		for i := range objects {
			if objects[i].Revision <= known[kind] && !(Kind(kind) == Rollouts && w.rollouts[objects[i].Name].Unwritten) {
				objects[i].Value = nil
			}
		}
	}
	return update
}

// allRevisionsKnown reports whether the revision of every kind is known, from a list or from another host's feed.
func (w *Watcher) allRevisionsKnown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.cache.revisions[:w.kinds] {
		if r == 0 {
			return false
		}
	}
	return true
}

// allKnown reports whether each kind was listed, or is known from other hosts.
func (w *Watcher) allKnown() bool {
	for kind := range w.kinds {
		if !w.isKnown(kind) {
			return false
		}
	}
	return true
}

// watchesStore reports whether this host watches the store itself.
func (w *Watcher) watchesStore() bool { return w.membership.Settled() && w.watcherOrDirect() }

// watcherOrDirect reports whether this host is a watcher or has to watch the store since nobody feeds it.
func (w *Watcher) watcherOrDirect() bool {
	_, role := w.membership.Watchers()
	return role == RoleWatcher || time.Now().UnixNano() < w.directWatchUntil.Load()
}
