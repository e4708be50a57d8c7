package watch

import (
	"context"
	"time"
)

const (
	// pingPeriod is the time between two pings of the store, and pingTimeout the time to wait for the answer to one.
	pingPeriod  = time.Second
	pingTimeout = 900 * time.Millisecond
)

// pingLoop pings the store at regular intervals while this host watches it, unless another call was answered just now. After an
// outage, all watches are cancelled, since they may wait on connections that return nothing any more. So are those that wait since this
// host watched the store before: meanwhile nothing was known of their connections.
func (w *Watcher) pingLoop(ctx context.Context) error {
	ticks := w.timer.Subscribe(ctx, pingPeriod)
	watched, paused := false, false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		}
		if !w.watchesStore() {
			paused = watched
			w.handleNoPing()
			continue
		}
		if paused {
			w.cancelWatches()
		}
		watched, paused = true, false
		if w.sinceAnswer(time.Now()) < pingPeriod {
			w.handlePing(nil)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, pingTimeout)
		evacuations, err := w.source.Ping(callCtx)
		cancel()
		if ctx.Err() == nil {
			w.handlePing(err)
			w.applyPing(evacuations)
		}
	}
}

// handleNoPing forgets an outage that this host no longer looks into.
func (w *Watcher) handleNoPing() {
	w.sourceDown.Store(false)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordReached()
}

// handlePing records whether the store answers. Removals are held from a failure on; the first answer after an outage cancels all
// watches.
func (w *Watcher) handlePing(err error) {
	wasDown := w.sourceDown.Swap(err != nil)
	if err != nil {
		w.recordUnreached()
		if !wasDown {
			w.journal.Record("follow", "store", "lost", err.Error())
		}
		return
	}
	w.mu.Lock()
	w.recordReached()
	w.mu.Unlock()
	if wasDown {
		w.journal.Record("follow", "store", "regained", "the store answers again")
		w.cancelWatches()
	}
}

// applyPing applies the stale list of evacuations that a ping returned, so that an evacuation takes effect also while the watch
// hears nothing, and passes the stated revision on to verifyLoop, unless that may be one of an earlier era.
func (w *Watcher) applyPing(list Changes) {
	w.mu.Lock()
	fromEra := w.mergeStale(Evacuations, list)
	w.mu.Unlock()
	if fromEra {
		w.recordStatement(list.Stated, time.Time{})
	}
}
