package watch

import (
	"context"
	"fmt"
	"time"

	"magnoliaworks/core/timer"
)

const (
	// verifyDelay is the time after a ping within which the watches bring what had changed before it; it is longer than
	// watchPause.
	verifyDelay = 600 * time.Millisecond
	// verifyTimeout is the timeout of the stale list of one kind.
	verifyTimeout = 900 * time.Millisecond
)

// verifiedKinds are the kinds that pings don't bring up to date themselves.
var verifiedKinds = []Kind{Configuration, Servers}

// verifyLoop verifies after each ping that the watches have heard what the store stated. A watch whose reply was lost waits on
// a connection that returns nothing any more, while pings on another one are answered.
func (w *Watcher) verifyLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case stated := <-w.pinged:
			if len(w.kindsBehind(stated)) == 0 || timer.Sleep(ctx, verifyDelay) != nil {
				continue
			}
			for _, kind := range w.kindsBehind(stated) {
				w.verify(ctx, kind, stated)
			}
		}
	}
}

// kindsBehind returns the kinds that are not known to be current at a revision of the store. Their watches are silent until one
// of their objects changes, so that most of them are current.
func (w *Watcher) kindsBehind(revision uint64) []Kind {
	known := w.known()
	var behind []Kind
	for _, kind := range verifiedKinds {
		if known[kind] > 0 && known[kind] < revision {
			behind = append(behind, kind)
		}
	}
	return behind
}

// verify brings a kind up to date by a stale list. If that has changes which the watch of the kind should have brought, since
// they were made up to the stated revision, the watch is started again.
func (w *Watcher) verify(ctx context.Context, kind Kind, stated uint64) {
	callCtx, cancel := context.WithTimeout(ctx, verifyTimeout)
	list, err := w.source.List(callCtx, kind, true)
	cancel()
	if err != nil {
		if ctx.Err() == nil {
			w.journal.Record("follow", kind.String(), "not verified", err.Error())
		}
		return
	}
	missed := w.missed(kind, list, stated)
	if !w.applyStaleList(kind, list) || missed == 0 {
		return
	}
	w.journal.Record("follow", kind.String(), "changes missed",
		fmt.Sprintf("%d changes up to revision %d came by a list, the watch is started again", missed, stated))
	w.cancelWatch(kind)
}

// missed counts the objects of a list that are newer than the known ones and not newer than a revision.
func (w *Watcher) missed(kind Kind, list Changes, revision uint64) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, o := range list.Objects {
		if o.Revision <= revision && w.cache.isNewer(kind, o) {
			n++
		}
	}
	return n
}

// applyStaleList applies a stale list if the kind is known up to an older revision than the list's, and reports whether it was.
func (w *Watcher) applyStaleList(kind Kind, list Changes) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if known := w.cache.revisions[kind]; known == 0 || list.Revision <= known {
		return false
	}
	w.replace(kind, list, byStaleList)
	return true
}

// cancelWatch ends the watch of a kind, which is then started again on a new connection.
func (w *Watcher) cancelWatch(kind Kind) {
	if cancel := w.watchCancels[kind].Load(); cancel != nil {
		(*cancel)()
	}
}
