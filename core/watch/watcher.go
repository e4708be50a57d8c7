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
	countEvent func(name string)
	// dataCentre is the data centre of this host.
	dataCentre string
	// kinds is the number of kinds that are followed, which are the first ones.
	kinds Kind
	// epoch is drawn at random at each start and is part of the positions in this host's feed.
	epoch uint64

	// listEarly is set when other hosts know nothing of the store either, so that waiting for them is of no use.
	listEarly atomic.Bool
	// sourceDown is set while the store does not answer pings.
	sourceDown atomic.Bool
	// loneCheckAge is the age of what is known of the store from which this host checks it although another one is to do so.
	loneCheckAge time.Duration
	// directWatchUntil is the Unix time in nanoseconds until which this host watches the store although other hosts are
	// to do so for it.
	directWatchUntil atomic.Int64
	// watching is set for each kind whose last call to the store was a watch that succeeded. Only the task that watches the kind uses it.
	watching [kindCount]bool
	// watchCancels cancels the watch of each kind, so that it is started again after an outage.
	watchCancels [kindCount]atomic.Pointer[context.CancelFunc]
	// stated passes revisions that the store has stated to verifyLoop.
	stated chan statement

	// mu guards the fields below.
	mu sync.Mutex
	// answeredAt is the time of the last answer of the store that told its present revision, and currentAt one before which all changes
	// are known that the store had made. verifiedAt is currentAt without the word of other hosts.
	answeredAt time.Time
	currentAt  time.Time
	verifiedAt time.Time
	// standIn tells of checks in place of another host.
	standIn standIn
	// currentBefore is what currentAt was when the store's return became known, the first of several in rewriteTime.
	currentBefore time.Time
	// fedAt is the time at which another host has last fed this one, or at which none had to.
	fedAt time.Time
	// contact tells whether the store answers this host while others watch it.
	contact contact
	// claims holds the claims of each kind that may have to be withdrawn, the oldest first, and watchCutAt is the time at which a watch was
	// last cut, or the history was found gone.
	claims     [kindCount][]claim
	watchCutAt time.Time
	// waiting is the number of watches that wait for an answer, and waitingSince the time at which the first of them began.
	waiting      int
	waitingSince time.Time
	cache        objectCache
	// changed is closed and replaced by notify.
	changed chan struct{}
	// unreached is set from a failed ping until the store answers. Removals of servers are held meanwhile and until holdUntil.
	unreached bool
	holdUntil time.Time
	// era is the newest known era of the store, and eraSince the time at which it became known. Until rewriteUntil, removals of other
	// kinds are held if only a copy of the store lacks the object.
	era          uint64
	eraSince     time.Time
	rewriteUntil time.Time
	// held, late, registrations, evacuated and rollouts are keyed by the name of the object.
	held          [kindCount]map[string]Object
	late          map[string]lateRegistration
	removed       removedServers
	registrations map[string]Registration
	evacuated     map[string]bool
	rollouts      map[string]topo.Rollout
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

// Options are the dependencies of a Watcher.
type Options struct {
	Source     Source
	Peers      Peers
	Membership Membership
	Decoder    Decoder
	State      *topo.Current
	Timer      *timer.Service
	Journal    *trace.Journal
	// CountEvent counts an event by name; nil counts none.
	CountEvent func(name string)
	// DataCentre is the data centre of this host.
	DataCentre string
	// Rollouts makes the watcher follow the orders for roll-outs.
	Rollouts bool
}

// New returns a watcher; it updates options.State only while Run is running, but for the roll-outs, which are known to be none from
// the start.
func New(options Options) *Watcher {
	if options.CountEvent == nil {
		options.CountEvent = func(string) {}
	}
	w := &Watcher{
		kinds:         Rollouts,
		source:        options.Source,
		peers:         options.Peers,
		membership:    options.Membership,
		decoder:       options.Decoder,
		state:         options.State,
		timer:         options.Timer,
		journal:       options.Journal,
		countEvent:    options.CountEvent,
		dataCentre:    options.DataCentre,
		epoch:         rand.Uint64(),
		loneCheckAge:  drawLoneCheckAge(),
		cache:         newObjectCache(),
		stated:        make(chan statement, 1),
		changed:       make(chan struct{}),
		late:          make(map[string]lateRegistration),
		removed:       make(removedServers),
		registrations: make(map[string]Registration),
		evacuated:     make(map[string]bool),
		rollouts:      make(map[string]topo.Rollout),
	}
	if options.Rollouts {
		w.kinds = kindCount
		w.publishRollouts()
	}
	w.cache.followed = w.kinds
	for kind := range w.held {
		w.held[kind] = make(map[string]Object)
	}
	return w
}

// Run keeps the state up to date until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for kind := range w.kinds {
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
	backoff, first, followed := minBackoff, true, false
	for ctx.Err() == nil {
		first = first && !w.isKnown(kind)
		if !first && !w.watchesStore() {
			followed = true
			_ = timer.Sleep(ctx, roleCheckPeriod)
			continue
		}
		if followed {
			followed = false
			w.withdrawBeforeTakeover(kind)
		}
		after := w.revision(kind)
		err := w.listOrWatch(ctx, kind, after, first)
		switch {
		case err == nil:
			backoff = minBackoff
		case errors.Is(err, ErrHistoryGone):
			w.historyGone(kind, after, err)
			// Hosts that learn of it at the same time don't list at the same moment.
			_ = timer.Sleep(ctx, jitter(minBackoff))
		case ctx.Err() == nil:
			w.journal.Record("follow", kind.String(), "call failed", err.Error())
			_ = timer.Sleep(ctx, jitter(backoff))
			backoff = min(2*backoff, backoffLimit(first))
		}
	}
	return nil
}

// listOrWatch makes one call to the store and applies its result: a watch for what changed after a revision, or a list if that is 0.
func (w *Watcher) listOrWatch(ctx context.Context, kind Kind, after uint64, stale bool) error {
	if after == 0 {
		w.watching[kind] = false
		changes, err := w.source.List(ctx, kind, stale)
		if err != nil {
			return errors.Wrapf(err, "list %s", kind)
		}
		by := byList
		if stale {
			by = byStaleList
		}
		w.applyList(kind, changes, by)
		return nil
	}
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.watchCancels[kind].Store(&cancel)
	if !w.watching[kind] {
		w.journal.Record("follow", kind.String(), "watch started", "after "+ordinalText(after))
	}
	began := time.Now()
	w.beginWait()
	changes, err := w.source.Watch(watchCtx, kind, after)
	w.endWait()
	w.watching[kind] = err == nil
	if err != nil {
		switch {
		case errors.Is(err, ErrHistoryGone):
			w.withdrawClaims()
		case watchCtx.Err() == nil && time.Since(began) >= cutWait:
			w.handleCut()
		}
		return errors.Wrapf(err, "watch %s", kind)
	}
	w.applyAnswer(kind, after, changes, byWatch, began)
	w.recordAnswer()
	// The answer may have been held up on the way, or with this process.
	w.recordStatement(changes.Stated, began)
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

// jitter returns a random duration between 0.5 d and 1.5 d, so that hosts don't retry all at once after an outage.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
