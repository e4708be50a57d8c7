package watch

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/member"
)

const (
	// loneCheckAge is the age of what is known of the store from which a host checks it although another one is to do so, and
	// loneCheckSpread bounds what hosts add to it, so that one of them tells the others before they ask too. A version that a host's
	// watch has missed is in force within 3 s also if no other host reaches it: after both, checkTickPeriod and answerDelay.
	loneCheckAge    = 2300 * time.Millisecond
	loneCheckSpread = 200 * time.Millisecond
	// askAge is the age from which such a host first asks the checking host how old its knowledge is, with a timeout of askTimeout: it may
	// watch the store for want of a feed, so that nobody tells it. A host that doesn't watch the store pings the store instead.
	askAge     = 2100 * time.Millisecond
	askTimeout = 150 * time.Millisecond
	// askPeriod is the least time between two such questions. It is longer than that from askAge to a check, which none delays.
	askPeriod = 500 * time.Millisecond
	// tellTimeout is the timeout of a ping by which another watcher is told that this host has checked the store.
	tellTimeout = 300 * time.Millisecond
)

// Announcement is what a host tells others of the store with its pings.
type Announcement struct {
	// Newest holds the revisions of the newest objects that the host knows, removals included.
	Newest Revisions
	// AgeKnown is set if the store itself has shown the host every change that it had made at the time Age ago. What a host knows only
	// from the word of others it doesn't pass on: each passes for newer by its time on the way, and many would add up.
	AgeKnown bool
	Age      time.Duration
}

// Announcement returns what this host tells others of the store.
func (w *Watcher) Announcement() Announcement {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := Announcement{
		Newest: w.cache.newest,
	}
	if !w.verifiedAt.IsZero() {
		a.AgeKnown, a.Age = true, time.Since(w.verifiedAt)
	}
	return a
}

// RecordAnnouncement records what another host has announced. If this host lacks none of it, it is as current as the other one. Otherwise,
// if no feed or watch brings that within maxLag, it compares its objects with those of the other host. Kinds that it doesn't follow don't
// count.
func (w *Watcher) RecordAnnouncement(host member.Member, a Announcement) {
	for kind := w.kinds; kind < kindCount; kind++ {
		a.Newest[kind] = 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.lacks(a.Newest) {
		if a.AgeKnown {
			w.recordCurrent(time.Now().Add(-a.Age))
		}
		return
	}
	if w.lag != nil || !w.started {
		return
	}
	w.lag = &lag{
		host:   host,
		newest: a.Newest,
		since:  time.Now(),
	}
}

// recordCurrent records that every change is known that the store had made at a time. The caller holds mu.
func (w *Watcher) recordCurrent(at time.Time) {
	if at.After(w.currentAt) {
		w.currentAt = at
	}
}

// knownBefore returns a time before which an object was not written that this host sees for the first time. While an object may be written
// again that the store has lost by a return from a copy, that is a time before the return. It is zero if there is none. The caller holds mu.
func (w *Watcher) knownBefore() time.Time {
	if time.Now().Before(w.rewriteUntil) {
		return w.currentBefore
	}
	return w.currentAt
}

// recordCurrentAt is recordCurrent, by the store's own word, if each kind is known up to a revision that it has stated after that time.
// It reports whether that is so.
func (w *Watcher) recordCurrentAt(stated uint64, at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, known := range w.cache.revisions[:w.kinds] {
		if known == 0 || known < stated {
			return false
		}
	}
	w.recordCurrent(at)
	if at.After(w.verifiedAt) {
		w.verifiedAt = at
	}
	return true
}

// StoreAge returns the time for which changes of the store may be unknown to this host: it knows all that were made before. ok is false
// if it has never known that.
func (w *Watcher) StoreAge() (age time.Duration, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.currentAt.IsZero() {
		return 0, false
	}
	return time.Since(w.currentAt), true
}

func (w *Watcher) lastVerified() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.verifiedAt
}

// storeAge is the time since currentAt.
func (w *Watcher) storeAge(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.currentAt)
}

// checkDue reports whether this host has to check the store: it does so for the fleet, whatever others say, has heard of no check that
// another host has made, or waits for the feed of hosts that don't answer. In the last case it first makes sure that the store answers.
func (w *Watcher) checkDue(ctx context.Context, now time.Time) bool {
	switch {
	case w.sourceDown.Load() || !w.membership.Settled() || !w.allRevisionsKnown():
		return false
	case !w.watcherOrDirect():
		return w.hearsNothing(now, askAge) && w.mayCallStore(ctx) && w.hearsNothing(now, w.loneCheckAge)
	case w.membership.ChecksStore():
		return now.Sub(w.lastVerified()) >= checkPeriod
	default:
		return w.storeAge(now) >= w.loneCheckAge
	}
}

// hearsNothing reports whether nobody has fed this host, and changes may have been unknown to it, for a time.
func (w *Watcher) hearsNothing(now time.Time, d time.Duration) bool {
	return w.storeAge(now) >= d && w.sinceFed(now) >= d
}

// askChecker pings the host that checks the store for the fleet, if this host would have to check it soon, and reports whether it did.
func (w *Watcher) askChecker(ctx context.Context, now time.Time) bool {
	if w.storeAge(now) < askAge || !w.watchesStore() || w.membership.ChecksStore() {
		return false
	}
	checker, ok := w.membership.StoreChecker()
	if ok {
		w.ping(ctx, []member.Member{checker}, askTimeout)
	}
	return ok
}

// tellDue reports whether this host checks the store for the fleet and has had an answer, as at the end of a watch, that spares it a check
// but of which the other watchers haven't been told.
func (w *Watcher) tellDue(now, told time.Time) bool {
	return now.Sub(told) >= checkPeriod && w.lastVerified().After(told) && w.watchesStore() && w.membership.ChecksStore()
}

// tellWatchers pings the other watchers, which need not check the store then, and returns the time before which they know all changes.
func (w *Watcher) tellWatchers(ctx context.Context) (told time.Time) {
	told = w.lastVerified()
	w.ping(ctx, w.membership.FleetWatchers(), tellTimeout)
	return told
}

// ping pings hosts, which so learn what this one knows of the store. Regular pings repeat those that fail.
func (w *Watcher) ping(ctx context.Context, hosts []member.Member, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var group errgroup.Group
	for _, host := range hosts {
		group.Go(func() error {
			_ = w.peers.Ping(ctx, host)
			return nil
		})
	}
	_ = group.Wait()
}

// drawLoneCheckAge returns the age from which a host checks the store although another one is to do so.
func drawLoneCheckAge() time.Duration { return loneCheckAge + rand.N(loneCheckSpread) }
