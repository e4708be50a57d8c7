package watch

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/timer"
	"magnoliaworks/core/topo"
	"magnoliaworks/core/trace"
)

const (
	// minBackoff and maxBackoff bound the backoff after a failed call, before jitter.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 1500 * time.Millisecond
	// maxStartBackoff replaces maxBackoff for the first list of a kind.
	maxStartBackoff = 400 * time.Millisecond
	// watchPause is the pause after a watch that returned changes. The next watch then returns all changes of the pause
	// in one reply, each of which takes effect later by up to this time. The same pause follows a watch that returned
	// no changes in less than this time.
	watchPause = 400 * time.Millisecond
	// reregisterTime is the time after an outage of the store within which servers register again whose registrations
	// expired during the outage.
	reregisterTime = 2500 * time.Millisecond
	// holdCheckPeriod is the time between two checks for held removals that are due, and for changes that are overdue.
	holdCheckPeriod = 100 * time.Millisecond
	// assumedAge is the assumed age of a revision that a stale list or another host has told.
	assumedAge = 8 * time.Second
	// firstListDelay is the time for which a starting host waits for the state of other hosts before it lists the store.
	firstListDelay = 50 * time.Millisecond
)

// Watcher keeps a topo.State up to date, either by watching the store or by following the feeds of those hosts of its
// data centre that do.
type Watcher struct {
	source     Source
	peers      Peers
	membership Membership
	decoder    Decoder
	state      *topo.Current
	timer      *timer.Service
	journal    *trace.Journal
	// dataCentre is the data centre of this host.
	dataCentre string
	// epoch is drawn at random at each start and is part of the positions in this host's feed.
	epoch uint64

	// listEarly is set when other hosts know nothing of the store either, so that waiting for them is of no use.
	listEarly atomic.Bool
	// sourceDown is set while the store does not answer pings.
	sourceDown atomic.Bool
	// directWatchUntil is the Unix time in nanoseconds until which this host watches the store although other hosts are
	// to do so for it.
	directWatchUntil atomic.Int64
	// watchCancels cancels the watch of each kind, so that it is started again after an outage.
	watchCancels [kindCount]atomic.Pointer[context.CancelFunc]
	// stated passes revisions that the store has stated to verifyLoop.
	stated chan uint64
	// upToDateAt is the Unix time in nanoseconds of the last answer of the store that told its present revision.
	upToDateAt atomic.Int64

	// mu guards the fields below.
	mu    sync.Mutex
	cache objectCache
	// changed is closed and replaced by notify.
	changed chan struct{}
	// holdUntil is the time until which removals of servers are held.
	holdUntil time.Time
	// held, late, registrations and evacuated are keyed by the name of the object.
	held          map[string]heldRemoval
	late          map[string]lateRegistration
	removed       removedServers
	registrations map[string]Registration
	evacuated     map[string]bool
	// config is the newest configuration, and configCause tells what brought it. It is published once started is set, when
	// compareAtStart has ended.
	config      *topo.Config
	configCause string
	started     bool
	// listed is set for each kind that was listed since the start.
	listed [kindCount]bool
	// lag is set while this host lacks a change that another host has announced.
	lag *lag
}

// heldRemoval is the removal of a server that may register again, and the time at which it takes effect otherwise.
type heldRemoval struct {
	object Object
	due    time.Time
}

// Options are the dependencies of a Watcher.
type Options struct {
	Source     Source
	Peers      Peers
	Membership Membership
	Decoder    Decoder
	State      *topo.Current
	Timer      *timer.Service
	Journal    *trace.Journal
	// DataCentre is the data centre of this host.
	DataCentre string
}

// New returns a watcher; it updates options.State only while Run is running.
func New(options Options) *Watcher {
	return &Watcher{
		source:        options.Source,
		peers:         options.Peers,
		membership:    options.Membership,
		decoder:       options.Decoder,
		state:         options.State,
		timer:         options.Timer,
		journal:       options.Journal,
		dataCentre:    options.DataCentre,
		epoch:         rand.Uint64(),
		cache:         newObjectCache(),
		stated:        make(chan uint64, 1),
		changed:       make(chan struct{}),
		held:          make(map[string]heldRemoval),
		late:          make(map[string]lateRegistration),
		removed:       make(removedServers),
		registrations: make(map[string]Registration),
		evacuated:     make(map[string]bool),
	}
}

// Run keeps the state up to date until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for kind := range kindCount {
		group.Go(func() error { return w.watchKind(ctx, kind) })
	}
	group.Go(func() error { return w.compareAtStart(ctx) })
	group.Go(func() error { return w.followPeers(ctx) })
	group.Go(func() error { return w.pingLoop(ctx) })
	group.Go(func() error { return w.verifyLoop(ctx) })
	group.Go(func() error { return w.checkLoop(ctx) })
	group.Go(func() error { return w.releaseLoop(ctx) })
	return group.Wait()
}

// watchKind lists a kind once, unless other hosts have stated its objects, and then watches it as long as this host watches the
// store. The first list is stale, and none is made before others have had firstListDelay to state their objects, unless they know
// none either, so that a restart costs the store nothing. What it lacks comes by the watch, which begins at the revision up to
// which the list is known to be complete; if that is not known, by a second list that is not stale.
func (w *Watcher) watchKind(ctx context.Context, kind Kind) error {
	for began := time.Now(); ctx.Err() == nil && time.Since(began) < firstListDelay && !w.listEarly.Load(); {
		_ = timer.Sleep(ctx, firstListDelay/10)
	}
	backoff, first := minBackoff, true
	for ctx.Err() == nil {
		first = first && !w.isKnown(kind)
		if !first && !w.watchesStore() {
			_ = timer.Sleep(ctx, roleCheckPeriod)
			continue
		}
		err := w.listOrWatch(ctx, kind, first)
		switch {
		case err == nil:
			backoff = minBackoff
		case errors.Is(err, ErrHistoryGone):
			w.journal.Record("follow", kind.String(), "listed anew", err.Error())
			w.forgetRevision(kind)
		case ctx.Err() == nil:
			w.journal.Record("follow", kind.String(), "call failed", err.Error())
			_ = timer.Sleep(ctx, jitter(backoff))
			backoff = min(2*backoff, backoffLimit(first))
		}
	}
	return nil
}

// listOrWatch makes one call to the store and applies its result: a list if the revision is not known, else a watch.
func (w *Watcher) listOrWatch(ctx context.Context, kind Kind, stale bool) error {
	after, began := w.revision(kind), time.Now()
	if after == 0 {
		changes, err := w.source.List(ctx, kind, stale)
		if err != nil {
			return errors.Wrapf(err, "list %s", kind)
		}
		if stale {
			w.applyList(kind, changes, byStaleList)
			w.recordStated(kind, began.Add(-assumedAge))
			return nil
		}
		w.applyList(kind, changes, byList)
		w.recordStated(kind, began)
		return nil
	}
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.watchCancels[kind].Store(&cancel)
	changes, err := w.source.Watch(watchCtx, kind, after, w.sinceStated(kind))
	if err != nil {
		return errors.Wrapf(err, "watch %s", kind)
	}
	w.applyChanges(kind, changes, byWatch)
	w.recordStated(kind, time.Now())
	w.upToDateAt.Store(time.Now().UnixNano())
	w.recordStatement(changes.Stated)
	if len(changes.Objects) > 0 || time.Since(began) < watchPause {
		_ = timer.Sleep(ctx, watchPause)
	}
	return nil
}

// backoffLimit returns the longest backoff after a failed call. It is shorter for the first list, which is stale and so cheap.
func backoffLimit(first bool) time.Duration {
	if first {
		return maxStartBackoff
	}
	return maxBackoff
}

// isKnown reports whether a kind was listed, or is known from other hosts.
func (w *Watcher) isKnown(kind Kind) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.listed[kind] || w.cache.revisions[kind] > 0
}

func (w *Watcher) revision(kind Kind) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cache.revisions[kind]
}

// recordStated records that the store has stated the revision of a kind at a time.
func (w *Watcher) recordStated(kind Kind, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cache.statedAt[kind] = at
}

// sinceStated returns the time since the store stated the revision of a kind.
func (w *Watcher) sinceStated(kind Kind) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.cache.statedAt[kind])
}

// forgetRevision makes the next call for the kind a list.
func (w *Watcher) forgetRevision(kind Kind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cache.revisions[kind] = 0
}

// extendHold holds removals until servers have had time to register again, and wakes waiting feeds so that they fail.
func (w *Watcher) extendHold() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holdUntil = time.Now().Add(pingPeriod + reregisterTime)
	w.notify()
}

// releaseLoop applies held removals when they are due, drops expired tombstones and catches up with other hosts.
func (w *Watcher) releaseLoop(ctx context.Context) error {
	ticks := w.timer.Subscribe(ctx, holdCheckPeriod)
	for {
		select {
		case <-ctx.Done():
			return nil
		case tick := <-ticks:
			w.releaseDue(tick.At)
			if l, ok := w.overdueLag(tick.At); ok {
				w.restartWatchesBehind(l.newest)
				w.fetch(ctx, l.host) // A failure is repeated after the next announcement.
			}
		}
	}
}

// releaseDue applies the held removals and registrations that are due, unless the store is down. It also drops expired tombstones.
func (w *Watcher) releaseDue(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cache.expireTombstones(now)
	if w.sourceDown.Load() {
		return
	}
	var due []Object
	for name, h := range w.held {
		if now.After(h.due) {
			due = append(due, h.object)
			delete(w.held, name)
		}
	}
	w.applyNewer(Servers, due, byRelease)
	w.releaseLate(now)
}

// jitter returns a random duration between 0.5 d and 1.5 d, so that hosts don't retry all at once after an outage.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
