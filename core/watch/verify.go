package watch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"magnoliaworks/core/timer"
)

const (
	// verifyDelay is the time after a statement of the store within which the watches bring what had changed before it; it is
	// longer than watchPause.
	verifyDelay = 600 * time.Millisecond
	// verifyTimeout is the timeout of the check of one kind.
	verifyTimeout = 900 * time.Millisecond
	// checkPeriod is the time from one check for the fleet to the next, and checkTickPeriod that between two looks whether one is
	// due. A version that every watch has missed is in force within 3 s: after checkPeriod, answerDelay and, on other hosts, maxLag.
	checkPeriod     = 1800 * time.Millisecond
	checkTickPeriod = 100 * time.Millisecond
	// followerVerifyPause is the pause after a verification that brought nothing, on hosts that don't check the store.
	followerVerifyPause = 10 * time.Second
	// answerDelay is the time within which a watch that waits brings a change; none is in its pause when a check is due.
	answerDelay = 200 * time.Millisecond
	// announcedHosts is the number of hosts that are told of a missed change, from which it spreads by their pings.
	announcedHosts  = 16
	announceTimeout = 300 * time.Millisecond
)

// statement is a revision that the store has stated. All changes up to it were made at a time; zero if the answer may have been stale.
type statement struct {
	revision uint64
	at       time.Time
}

// recordAnswer records that the store has told its present revision.
func (w *Watcher) recordAnswer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answeredAt = time.Now()
}

// sinceAnswer returns the time since the last answer of the store that told its present revision.
func (w *Watcher) sinceAnswer(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.answeredAt)
}

// recordStatement passes a revision that the store has stated on to verifyLoop, unless that has one in hand. Pings repeat it.
func (w *Watcher) recordStatement(revision uint64, at time.Time) {
	select {
	case w.stated <- statement{
		revision: revision,
		at:       at,
	}:
	default:
	}
}

// verifyLoop verifies that the watches have brought all changes up to each revision that the store states. A watch whose reply
// was lost waits on a connection that returns nothing any more, while calls on other ones are answered. What no watch accounts for
// may also be changes of kinds that no host watches; after a verification that brings nothing there is a pause.
func (w *Watcher) verifyLoop(ctx context.Context) error {
	var pausedUntil time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case stated := <-w.stated:
			if w.recordCurrentAt(stated.revision, stated.at) {
				continue
			}
			if time.Now().Before(pausedUntil) || len(w.kindsBehind(stated.revision)) == 0 || timer.Sleep(ctx, verifyDelay) != nil {
				continue
			}
			if len(w.kindsBehind(stated.revision)) > 0 && w.verify(ctx, stated.revision) == 0 {
				pausedUntil = time.Now().Add(w.verifyPause())
			}
			w.recordCurrentAt(stated.revision, stated.at)
		}
	}
}

// verifyPause returns the time between verifications that bring nothing. The host that checks the store for the fleet tells others
// what it finds.
func (w *Watcher) verifyPause() time.Duration {
	if w.membership.ChecksStore() {
		return checkPeriod
	}
	return followerVerifyPause
}

// kindsBehind returns the kinds that are not known to be current at a revision of the store. A kind whose revision is not known
// is about to be listed.
func (w *Watcher) kindsBehind(revision uint64) []Kind {
	known := w.known()
	var behind []Kind
	for kind := range kindCount {
		if known[kind] > 0 && known[kind] < revision {
			behind = append(behind, kind)
		}
	}
	return behind
}

// verify asks the store for the changes of each kind that is not known up to a revision. The changes of one kind may account for
// those that another one seemed to lack. Other hosts are told of what no watch had brought here, since their watches may have
// missed it too. It returns the number of changes that a watch should have brought.
func (w *Watcher) verify(ctx context.Context, stated uint64) (missed int) {
	for _, kind := range w.kindsBehind(stated) {
		after := w.revision(kind)
		if after == 0 || after >= stated {
			continue
		}
		began := time.Now()
		if changes, ok := w.ask(ctx, kind, after); ok {
			missed += w.applyVerified(kind, after, changes, stated, began)
		}
	}
	if missed > 0 {
		w.announce(ctx)
	}
	return missed
}

// ask asks for the changes of a kind after a revision. A stale list would not do, since it may lack changes up to the revision that
// it states.
func (w *Watcher) ask(ctx context.Context, kind Kind, after uint64) (changes Changes, ok bool) {
	callCtx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	changes, err := w.source.ChangesAfter(callCtx, kind, after)
	switch {
	case err == nil:
		w.recordAnswer()
		return changes, true
	case errors.Is(err, ErrHistoryGone):
		w.withdrawClaims()
		w.historyGone(kind, after, err)
		w.cancelWatch(kind)
	case ctx.Err() == nil:
		w.journal.Record("follow", kind.String(), "not verified", err.Error())
	}
	return Changes{}, false
}

// applyVerified applies the changes after a revision that a call which began at a time has brought, and starts the watch of the kind again
// if it should have brought some of them, which were made up to the stated revision. It returns the number of these.
func (w *Watcher) applyVerified(kind Kind, after uint64, changes Changes, stated uint64, began time.Time) (missed int) {
	missed = w.missed(kind, changes, stated)
	w.applyAnswer(kind, after, changes, byCheck, began)
	if missed > 0 {
		w.journal.Record("follow", kind.String(), "changes missed",
			fmt.Sprintf("%d changes up to %s came by a check, the watch is started again", missed, ordinalText(stated)))
		w.cancelWatch(kind)
	}
	return missed
}

// announce pings other hosts, which then learn what the newest objects are that this one knows.
func (w *Watcher) announce(ctx context.Context) {
	hosts := w.membership.Others()
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	w.ping(ctx, hosts[:min(announcedHosts, len(hosts))], announceTimeout)
}

// checkLoop asks the store for its present revision each checkPeriod on one host of the fleet, which tells the other watchers, and on others
// when changes may have been unknown for loneCheckAge: the one that checks may be gone, cut off from them or from the store. Pings of the
// store don't tell that revision, since stale lists may state the revision of their data.
func (w *Watcher) checkLoop(ctx context.Context) error {
	ticks := w.timer.Subscribe(ctx, checkTickPeriod)
	var pausedUntil, askedAt, told time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case tick := <-ticks:
			if tick.At.Before(pausedUntil) {
				continue
			}
			if tick.At.Sub(askedAt) > askPeriod && w.askChecker(ctx, tick.At) {
				askedAt = tick.At
			}
			due := w.checkDue(ctx, tick.At)
			if due && !w.check(ctx) {
				// A kind that is about to be listed costs no further check.
				if w.allRevisionsKnown() {
					pausedUntil = time.Now().Add(jitter(pingPeriod))
					w.forgetAnswer()
				}
				continue
			}
			if due && !w.membership.ChecksStore() {
				w.recordStandIn()
			}
			if due || w.tellDue(tick.At, told) {
				told = w.tellWatchers(ctx)
			}
		}
	}
}

// check asks for the changes of the evacuations, the kind with the fewest objects, and verifies that all kinds are known up to the
// revision of the answer. It reports whether they are.
func (w *Watcher) check(ctx context.Context) (current bool) {
	after, began := w.revision(Evacuations), time.Now()
	if after == 0 {
		return false
	}
	changes, ok := w.ask(ctx, Evacuations, after)
	if !ok {
		return false
	}
	if len(w.kindsBehind(changes.Stated)) > 0 && timer.Sleep(ctx, answerDelay) != nil {
		return false
	}
	if w.applyVerified(Evacuations, after, changes, changes.Stated, began) > 0 {
		w.announce(ctx)
	}
	w.verify(ctx, changes.Stated)
	return w.recordCurrentAt(changes.Stated, began)
}

// missed counts the changes that are newer than the known ones and not newer than a revision.
func (w *Watcher) missed(kind Kind, changes Changes, revision uint64) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, o := range changes.Objects {
		if o.Revision <= revision && w.cache.isNewer(kind, o) {
			n++
		}
	}
	return n
}

// cancelWatch ends the watch of a kind, which is then started again on a new connection.
func (w *Watcher) cancelWatch(kind Kind) {
	if cancel := w.watchCancels[kind].Load(); cancel != nil {
		(*cancel)()
	}
}

// cancelWatches cancels all watches after a time in which nothing was known of their connections: the store may have cut them.
func (w *Watcher) cancelWatches() {
	w.handleCut()
	for kind := range kindCount {
		w.cancelWatch(kind)
	}
}
