package watch

import "time"

// claimTime is the time for which an answer without events proves nothing if a watch fails: a store that is about to drop its history may
// give its watches no events for a time and then cut them.
const claimTime = 5 * time.Second

// cutWait is the time for which a watch that fails has waited at least if it was cut. One that fails sooner was refused, as by a store that
// is away, which says nothing of earlier answers.
const cutWait = 100 * time.Millisecond

// dropTime is the time after a cut within which the store may not have dropped its history yet. The answer without events to a call that
// begins within it proves nothing, since the watches that the drop ends may all have been cut before.
const dropTime = time.Second

// claim is the revision up to which a kind was known, 0 if none, before an answer without events or another host stated a later one, with
// the times before which all changes were known then.
type claim struct {
	before     uint64
	currentAt  time.Time
	verifiedAt time.Time
	at         time.Time
}

// applyAnswer applies the answer to a watch or a check for the changes after a revision, whose call began at a time. The revision that one
// without events states is remembered as a claim. The answer to a call that began before a watch was cut, or within dropTime of that, states
// none, and neither does that to a check while no watch waits, which would be cut, nor one with events if the revision after which it lists
// them has been withdrawn meanwhile.
func (w *Watcher) applyAnswer(kind Kind, after uint64, changes Changes, by origin, began time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.cache.revisions[kind] < after:
		changes.Revision = 0
	case len(changes.Objects) > 0:
	case began.Sub(w.watchCutAt) < dropTime, by == byCheck && !w.waitedSince(began):
		changes.Revision = 0
	default:
		// The history since the last cut is there, or this answer would be that it is gone.
		w.recordClaim(kind, changes.Revision, w.watchCutAt)
	}
	w.mergeChanges(kind, changes, by)
}

// beginWait records that a watch begins to wait.
func (w *Watcher) beginWait() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting == 0 {
		w.waitingSince = time.Now()
	}
	w.waiting++
}

// endWait records that a watch has ended.
func (w *Watcher) endWait() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting--
}

// waitedSince reports whether some watch has waited at each moment since a time, and before for long enough not to have been refused. The
// caller holds mu.
func (w *Watcher) waitedSince(t time.Time) bool {
	return w.waiting > 0 && t.Sub(w.waitingSince) >= cutWait
}

// recordClaim records the claim that a kind is known up to a revision, by an answer that proves all changes before a time. The caller holds
// mu.
func (w *Watcher) recordClaim(kind Kind, revision uint64, proven time.Time) {
	known := w.cache.revisions[kind]
	if revision <= known {
		return
	}
	now := time.Now()
	recent := w.claims[kind]
	for len(recent) > 0 && now.Sub(recent[0].at) > claimTime {
		recent = recent[1:]
	}
	w.claims[kind] = append(recent, claim{
		before:     known,
		currentAt:  later(w.currentAt, proven),
		verifiedAt: later(w.verifiedAt, proven),
		at:         now,
	})
}

// proven returns the revisions up to which this host knows each kind without the claims of the last claimTime. Another host then states
// the values of what a claim may hide.
func (w *Watcher) proven() Revisions {
	w.mu.Lock()
	defer w.mu.Unlock()
	revisions := w.cache.revisions
	for kind, claims := range w.claims {
		for _, c := range claims {
			if time.Since(c.at) <= claimTime {
				revisions[kind] = min(revisions[kind], c.before)
			}
		}
	}
	return revisions
}

// handleCut withdraws the claims of the last claimTime after watches were cut. The host is current only with what it knew before them, tells
// others no more, and checks the store if that is too old. A history that is gone takes no time back: it also ends by age, in calm.
func (w *Watcher) handleCut() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for kind, claims := range w.claims {
		for _, c := range claims {
			if time.Since(c.at) <= claimTime && c.before < w.cache.revisions[kind] {
				w.currentAt, w.verifiedAt = earlier(w.currentAt, c.currentAt), earlier(w.verifiedAt, c.verifiedAt)
			}
		}
	}
	w.withdrawRecent()
}

// withdrawClaims goes back to the revisions that were known before the claims of the last claimTime, after a watch or a check has found the
// history gone. The next watches ask for the changes since then, or find that the store has dropped them.
func (w *Watcher) withdrawClaims() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.withdrawRecent()
}

// withdrawRecent is withdrawClaims for callers that hold mu.
func (w *Watcher) withdrawRecent() {
	w.watchCutAt = time.Now()
	for kind, claims := range w.claims {
		w.claims[kind] = nil
		for _, c := range claims {
			w.withdraw(Kind(kind), c, "a watch was cut or the history is gone")
		}
	}
}

// withdrawBeforeTakeover goes back to the revision that was known of a kind before the claims of the last claimTime, when this host begins
// to watch it: it had no watch that a cut would have ended. A kind of which nothing was known before is left, since each start would list it.
func (w *Watcher) withdrawBeforeTakeover(kind Kind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.claims[kind] {
		if c.before > 0 {
			w.withdraw(kind, c, "this host had no watch when the claim was made")
		}
	}
}

// withdraw withdraws a claim, unless it is older than claimTime or an earlier one was withdrawn. The caller holds mu.
func (w *Watcher) withdraw(kind Kind, c claim, cause string) {
	known := w.cache.revisions[kind]
	if time.Since(c.at) > claimTime || c.before >= known {
		return
	}
	w.journal.Record("follow", kind.String(), "claim withdrawn", "known up to "+ordinalText(c.before)+", not "+ordinalText(known)+": "+cause)
	w.cache.revisions[kind] = c.before
	w.cache.accounts = newAccounts()
}

// historyGone handles that the store no longer keeps the changes after a revision, as at the end of a watch of a kind that has not
// changed for long. The kind is listed anew, unless the changes of other kinds have shown meanwhile that it is known up to a later
// revision.
func (w *Watcher) historyGone(kind Kind, after uint64, cause error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cache.revisions[kind] > after {
		return
	}
	w.cache.revisions[kind] = 0
	w.cache.accounts = newAccounts()
	w.journal.Record("follow", kind.String(), "listed anew", cause.Error())
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
