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
	// backoffMin and backoffMax bound the wait after a failed call.
	backoffMin = 100 * time.Millisecond
	backoffMax = 1500 * time.Millisecond
	// backoffStart is the longest wait of a host that has not listed yet.
	backoffStart = 400 * time.Millisecond
	// gatherTime is the time between a watch that returned changes and the next one, which then returns
	// all changes of that time for the price of one call. It is part of every bound on changes in force.
	// A watch that was cut short is not repeated sooner either.
	gatherTime = 400 * time.Millisecond
	// reachPeriod is the time between two looks at whether the source answers, and reachTimeout the wait for one.
	reachPeriod  = time.Second
	reachTimeout = 900 * time.Millisecond
	// returnTime is the time after an outage in which servers that lapsed meanwhile register again.
	returnTime = 2500 * time.Millisecond
	// heldPeriod is the time between two looks at whether held removals are due.
	heldPeriod = 250 * time.Millisecond
)

// Watcher keeps a state up to date: from the store, or from hosts of its data centre that watch the store.
type Watcher struct {
	source  Source
	feeder  Peers
	fleet   Membership
	decoder Decoder
	current *topo.Current
	timer   *timer.Service
	journal *trace.Journal
	epoch   uint64

	// away is set while the source does not answer.
	away atomic.Bool
	// directUntil is the Unix nanosecond until which this host watches the store although it need not.
	directUntil atomic.Int64
	// cuts ends the waiting watches, so that they start again after an outage.
	cuts [kinds]atomic.Pointer[context.CancelFunc]

	mu      sync.Mutex
	book    book
	changed chan struct{}
	// settled is the time from which removals take effect at once.
	settled time.Time
	// held are removals of servers that may register again, with the time at which they take effect.
	held    map[string]held
	servers map[string]Registration
	centres map[string]bool
}

type held struct {
	object Object
	due    time.Time
}

// Options are what a Watcher works with.
type Options struct {
	Source     Source
	Peers      Peers
	Membership Membership
	Decoder    Decoder
	State      *topo.Current
	Timer      *timer.Service
	Journal    *trace.Journal
}

// New returns a watcher that keeps the current state up to date once Run is called.
func New(parts Options) *Watcher {
	return &Watcher{
		source:  parts.Source,
		feeder:  parts.Peers,
		fleet:   parts.Membership,
		decoder: parts.Decoder,
		current: parts.State,
		timer:   parts.Timer,
		journal: parts.Journal,
		epoch:   rand.Uint64(),
		book:    newBook(),
		changed: make(chan struct{}),
		held:    make(map[string]held),
		servers: make(map[string]Registration),
		centres: make(map[string]bool),
	}
}

// Run follows the source until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for kind := range kinds {
		group.Go(func() error { return w.watch(ctx, kind) })
	}
	group.Go(func() error { return w.feed(ctx) })
	group.Go(func() error { return w.reach(ctx) })
	group.Go(func() error { return w.release(ctx) })
	return group.Wait()
}

// watch lists a kind while its revision is not known and then watches it, as long as this host watches the store.
// The first list may be stale: news of other hosts or a watch bring it up to date.
func (w *Watcher) watch(ctx context.Context, kind Kind) error {
	backoff, started := backoffMin, false
	for ctx.Err() == nil {
		if w.revision(kind) > 0 {
			started = true
		}
		if started && !w.direct() {
			_ = timer.Sleep(ctx, idlePeriod)
			continue
		}
		err := w.step(ctx, kind, !started)
		switch {
		case err == nil:
			backoff = backoffMin
		case errors.Is(err, ErrHistoryGone):
			w.journal.Record("follow", kind.String(), "listed anew", err.Error())
			w.forgetRevision(kind)
		case ctx.Err() == nil:
			w.journal.Record("follow", kind.String(), "call failed", err.Error())
			_ = timer.Sleep(ctx, jittered(backoff))
			backoff = min(2*backoff, backoffBound(started))
		}
	}
	return nil
}

// step makes one call and takes in what it returned.
func (w *Watcher) step(ctx context.Context, kind Kind, stale bool) error {
	after := w.revision(kind)
	if after == 0 {
		changes, err := w.source.List(ctx, kind, stale)
		if err != nil {
			return errors.Wrapf(err, "list %s", kind)
		}
		w.takeList(kind, changes)
		return nil
	}
	watchCtx, cut := context.WithCancel(ctx)
	defer cut()
	w.cuts[kind].Store(&cut)
	asked := time.Now()
	changes, err := w.source.Watch(watchCtx, kind, after)
	if err != nil {
		return errors.Wrapf(err, "watch %s", kind)
	}
	w.takeChanges(kind, changes)
	if len(changes.Objects) > 0 || time.Since(asked) < gatherTime {
		_ = timer.Sleep(ctx, gatherTime)
	}
	return nil
}

// backoffBound returns the longest wait after a failed call; a host that knows nothing asks for cheap lists more often.
func backoffBound(started bool) time.Duration {
	if started {
		return backoffMax
	}
	return backoffStart
}

func (w *Watcher) revision(kind Kind) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.book.revisions[kind]
}

func (w *Watcher) forgetRevision(kind Kind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.book.revisions[kind] = 0
}

// reach looks at regular intervals whether the source answers. A watch may wait on a connection that returns nothing
// any more, so all watches are cut when the source was away.
func (w *Watcher) reach(ctx context.Context) error {
	ticks := w.timer.Subscribe(ctx, reachPeriod)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		}
		if !w.direct() {
			w.away.Store(false)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, reachTimeout)
		err := w.source.Ping(callCtx)
		cancel()
		if ctx.Err() == nil {
			w.reached(err)
		}
	}
}

func (w *Watcher) reached(err error) {
	was := w.away.Swap(err != nil)
	if err != nil {
		w.unsettle()
		if !was {
			w.journal.Record("follow", "store", "lost", err.Error())
		}
		return
	}
	if was {
		w.journal.Record("follow", "store", "regained", "it answers again")
		for k := range w.cuts {
			if cut := w.cuts[k].Load(); cut != nil {
				(*cut)()
			}
		}
	}
}

// unsettle makes removals wait until servers have had the time to register again.
func (w *Watcher) unsettle() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settled = time.Now().Add(reachPeriod + returnTime)
	w.wake()
}

// release puts held removals into effect when they are due.
func (w *Watcher) release(ctx context.Context) error {
	ticks := w.timer.Subscribe(ctx, heldPeriod)
	for {
		select {
		case <-ctx.Done():
			return nil
		case tick := <-ticks:
			w.releaseDue(tick.At)
		}
	}
}

func (w *Watcher) releaseDue(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.book.forget(now)
	if w.away.Load() {
		return
	}
	var due []Object
	for name, h := range w.held {
		if now.After(h.due) {
			due = append(due, h.object)
			delete(w.held, name)
		}
	}
	w.recordAll(Servers, due)
}

// jittered returns half to one and a half of d, so that the end of an outage brings no stampede.
func jittered(d time.Duration) time.Duration { return d/2 + rand.N(d) }
