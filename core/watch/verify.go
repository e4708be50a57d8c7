package watch

import (
	"context"
	"fmt"
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
)

// verifyLoop verifies that the watches have brought all changes up to each revision that the store states. A watch whose reply
// was lost waits on a connection that returns nothing any more, while calls on other ones are answered.
func (w *Watcher) verifyLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case stated := <-w.stated:
			if len(w.kindsBehind(stated)) > 0 && timer.Sleep(ctx, verifyDelay) == nil {
				w.verify(ctx, stated)
			}
		}
	}
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
// those that another one seemed to lack.
func (w *Watcher) verify(ctx context.Context, stated uint64) {
	for _, kind := range w.kindsBehind(stated) {
		if after := w.revision(kind); after > 0 && after < stated {
			w.verifyKind(ctx, kind, after, stated)
		}
	}
}

// verifyKind asks for the changes of a kind after a revision. A stale list would not do, since it may lack changes up to the
// revision that it states. If there are changes which the watch should have brought, it is started again.
func (w *Watcher) verifyKind(ctx context.Context, kind Kind, after, stated uint64) {
	callCtx, cancel := context.WithTimeout(ctx, verifyTimeout)
	changes, err := w.source.ChangesAfter(callCtx, kind, after)
	cancel()
	switch {
	case errors.Is(err, ErrHistoryGone):
		w.journal.Record("follow", kind.String(), "listed anew", err.Error())
		w.forgetRevision(kind)
		w.cancelWatch(kind)
		return
	case err != nil:
		if ctx.Err() == nil {
			w.journal.Record("follow", kind.String(), "not verified", err.Error())
		}
		return
	}
	missed := w.missed(kind, changes, stated)
	w.applyChanges(kind, changes, byCheck)
	if missed == 0 {
		return
	}
	w.journal.Record("follow", kind.String(), "changes missed",
		fmt.Sprintf("%d changes up to revision %d came by a check, the watch is started again", missed, stated))
	w.cancelWatch(kind)
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
