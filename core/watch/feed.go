package watch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/core/member"
	"magnoliaworks/core/timer"
)

// ErrFeedUnavailable reports that a host does not feed others, since it does not watch the store or does not reach it.
var ErrFeedUnavailable = errors.New("the host does not feed others")

const (
	// feedWait is the time that a feed waits for news, and feedTimeout the time until one counts as failed.
	feedWait    = 1500 * time.Millisecond
	feedTimeout = 2 * time.Second
	// directTime is the time for which a host without a feeder watches the store itself.
	directTime = 10 * time.Second
	// idlePeriod is the time between two looks at whether this host's part has changed.
	idlePeriod = 250 * time.Millisecond
)

// Position is a position in the news of one host.
type Position struct {
	// Epoch names the host's run; positions of another epoch mean nothing.
	Epoch    uint64
	Sequence uint64
}

// Update is what a host has learnt of the store after a place.
type Update struct {
	Position Position
	// Full is set when the objects are all that exist.
	Full    bool
	Objects [kinds][]Object
	// Revisions are the store's revisions up to which each kind is known.
	Revisions [kinds]uint64
}

// KindCount is the number of kinds of object.
const KindCount = int(kinds)

// Membership tells which hosts watch the store for those of their data centre.
type Membership interface {
	// Watchers returns the hosts that watch for this one, and whether it is one of them.
	Watchers() (others []member.Member, self bool)
	// Settled reports whether this host has heard of others, or has waited long enough for that.
	Settled() bool
}

// Peers asks other hosts for news.
type Peers interface {
	// Feed returns the news of a host after a place. It waits a while for some.
	Feed(ctx context.Context, from member.Member, after Position, wait time.Duration) (Update, error)
}

// Feed returns this host's news after a place, and waits a while for some. Only a host that reaches the store feeds others.
func (w *Watcher) Feed(ctx context.Context, after Position, wait time.Duration) (Update, error) {
	limit := time.NewTimer(min(wait, feedWait))
	defer limit.Stop()
	for {
		if _, self := w.fleet.Watchers(); !self || w.away.Load() || !w.complete() {
			return Update{}, ErrFeedUnavailable
		}
		news, changed := w.news(after)
		if news.Position != after {
			return news, nil
		}
		select {
		case <-ctx.Done():
			return Update{}, ctx.Err()
		case <-limit.C:
			return news, nil
		case <-changed:
		}
	}
}

// news returns what became known after a place, and a channel that is closed at the next change.
func (w *Watcher) news(after Position) (Update, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	whole := after.Epoch != w.epoch || after.Sequence == 0
	from := after.Sequence
	if whole {
		from = 0
	}
	return Update{
		Position: Position{
			Epoch:    w.epoch,
			Sequence: w.book.sequence,
		},
		Full:      whole,
		Objects:   w.book.since(from),
		Revisions: w.book.revisions,
	}, w.changed
}

// complete reports whether every kind has been listed.
func (w *Watcher) complete() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.book.revisions {
		if r == 0 {
			return false
		}
	}
	return true
}

// direct reports whether this host watches the store itself.
func (w *Watcher) direct() bool {
	if !w.fleet.Settled() {
		return false
	}
	_, self := w.fleet.Watchers()
	return self || time.Now().UnixNano() < w.directUntil.Load()
}

// feed takes in the news of the hosts that watch the store for this one. Without any it watches the store itself,
// if the store answers it.
func (w *Watcher) feed(ctx context.Context) error {
	var place Position
	for ctx.Err() == nil {
		others, _ := w.fleet.Watchers()
		if !w.fleet.Settled() || w.direct() || len(others) == 0 {
			_ = timer.Sleep(ctx, idlePeriod)
			continue
		}
		next, ok := w.feedFrom(ctx, others, place)
		if ok {
			place = next
			continue
		}
		place = Position{}
		w.fallBack(ctx)
	}
	return nil
}

// feedFrom asks one host after the other for news.
func (w *Watcher) feedFrom(ctx context.Context, others []member.Member, after Position) (next Position, ok bool) {
	for _, from := range others {
		callCtx, cancel := context.WithTimeout(ctx, feedTimeout)
		news, err := w.feeder.Feed(callCtx, from, after, feedWait)
		cancel()
		if err == nil {
			w.takeNews(news)
			return news.Position, true
		}
		if ctx.Err() != nil {
			return after, true
		}
	}
	return after, false
}

// fallBack makes this host watch the store for a while, if the store answers it.
func (w *Watcher) fallBack(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, reachTimeout)
	err := w.source.Ping(callCtx)
	cancel()
	if err != nil {
		_ = timer.Sleep(ctx, jittered(reachPeriod))
		return
	}
	w.journal.Record("follow", "store", "watched directly", "no host that watches it for this one answers")
	w.directUntil.Store(time.Now().Add(directTime).UnixNano())
}

// takeNews takes in what another host knows.
func (w *Watcher) takeNews(news Update) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for kind := range kinds {
		objects := news.Objects[kind]
		if news.Full {
			objects = append(w.book.absent(kind, objects, news.Revisions[kind]), objects...)
		}
		w.book.revisions[kind] = max(w.book.revisions[kind], news.Revisions[kind])
		w.recordAll(kind, objects)
	}
}
