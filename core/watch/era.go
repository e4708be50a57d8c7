package watch

import (
	"fmt"
	"slices"
	"time"
)

// The store's revisions go back when it returns from an older copy, and its era rises by one. This package orders what it takes from the
// store by ordinal: the era in the upper bits, the revision in the lower ones. Era 0 means that the store has
// stated none; others are one above the stated one.
const (
	revisionBits = 40
	// MaxEra is the largest era that an ordinal holds.
	MaxEra = 1<<(64-revisionBits) - 1
	// firstEra is the era of a store that states to have never returned.
	firstEra = 1
)

// rewriteTime is the time after the store's return within which the operator writes again what the copy lacks.
const rewriteTime = 10 * time.Second

// staleTime is the longest age of the data of a stale answer.
const staleTime = 15 * time.Second

// eventStoreEra counts the eras of the store that this host has learnt of after its first.
const eventStoreEra = "store_era"

// Ordinal returns the ordinal of a revision in an era; revision 0, which stands for none, has ordinal 0 in each.
func Ordinal(era, revision uint64) uint64 {
	if revision == 0 {
		return 0
	}
	return era<<revisionBits | revision
}

// EraOf returns the era of an ordinal, and RevisionOf its revision.
func EraOf(ordinal uint64) uint64 { return ordinal >> revisionBits }

// RevisionOf returns the revision of an ordinal.
func RevisionOf(ordinal uint64) uint64 { return ordinal & (1<<revisionBits - 1) }

// HasReturned reports whether the store has ever returned from an older copy before an ordinal.
func HasReturned(ordinal uint64) bool { return EraOf(ordinal) > firstEra }

// ordinalText returns an ordinal for the journal, with the era as the store states it.
func ordinalText(ordinal uint64) string {
	if EraOf(ordinal) == 0 {
		return fmt.Sprintf("revision %d", ordinal)
	}
	return fmt.Sprintf("revision %d of era %d", RevisionOf(ordinal), EraOf(ordinal)-1)
}

// recordEra notices that an ordinal is of a later era than is known. What the copy lacks may be written again, so that removals are held
// for some time. The caller holds mu.
func (w *Watcher) recordEra(ordinal uint64) {
	era := EraOf(ordinal)
	if era <= w.era {
		return
	}
	now := time.Now()
	first := w.era == 0
	w.era, w.eraSince = era, now
	if first {
		return
	}
	if !now.Before(w.rewriteUntil) {
		w.currentBefore = w.currentAt
	}
	w.rewriteUntil = now.Add(rewriteTime)
	if hold := now.Add(reregisterTime); hold.After(w.holdUntil) {
		w.holdUntil = hold
	}
	w.countEvent(eventStoreEra)
	var newest uint64
	for _, p := range w.cache.newest {
		newest = max(newest, p)
	}
	w.journal.Record("follow", "store", "returned from a copy", fmt.Sprintf("it states %s, this host knew %s", ordinalText(ordinal), ordinalText(newest)))
}

// isFromEra reports whether the data of a stale answer is surely from the era that it states. Data from before the return has revisions
// that may stand for something else in the new era. The caller holds mu.
func (w *Watcher) isFromEra(stale Changes) bool {
	era := EraOf(stale.Stated)
	return era <= firstEra || (era == w.era && time.Since(w.eraSince) > staleTime)
}

// inEarlierEra returns the objects as of the era before, so that whatever is known of their own era goes before them.
func inEarlierEra(objects []Object) []Object {
	earlier := slices.Clone(objects)
	for i, o := range earlier {
		earlier[i].Revision = Ordinal(EraOf(o.Revision)-1, RevisionOf(o.Revision))
	}
	return earlier
}

// isOlderCopy reports whether an object of a later era is an older version than the known one of an earlier era: a copy of the store holds
// what was written before. Configurations are compared by version, unless a watch has brought the object, which the operator has written
// since the return. Registrations are compared by the server's start and sequence. The caller holds mu.
func (w *Watcher) isOlderCopy(kind Kind, o Object, by origin) bool {
	known, ok := w.cache.entries[kind][o.Name]
	if !ok || o.Deleted || known.object.Deleted || EraOf(known.object.Revision) == 0 || EraOf(known.object.Revision) >= EraOf(o.Revision) {
		return false
	}
	switch kind {
	case Configuration:
		if w.config == nil || by == byWatch || by == byCheck {
			return false
		}
		config, err := w.decoder.Config(o.Value)
		return err == nil && config.Version < w.config.Version
	case Servers:
		registration, ok := w.registrations[o.Name]
		if !ok {
			return false
		}
		r, err := w.decoder.Server(o.Name, o.Value, time.Now())
		return err == nil && r.Before(registration)
	default:
		return false
	}
}

// carryOver keeps the known version of an object in force, at the ordinal of the older copy of it. The caller holds mu.
func (w *Watcher) carryOver(kind Kind, older Object) {
	known := w.cache.entries[kind][older.Name].object
	w.journal.Record("follow", older.Name, "kept in force", "the store has returned from a copy that holds an older version at "+ordinalText(older.Revision))
	known.Revision = older.Revision
	w.cache.put(kind, known)
}

// isLostByReturn reports whether a removal means only that a copy of the store lacks the object. The caller holds mu.
func (w *Watcher) isLostByReturn(kind Kind, removal Object) bool {
	known, ok := w.cache.entries[kind][removal.Name]
	return ok && !known.object.Deleted && EraOf(known.object.Revision) > 0 && EraOf(known.object.Revision) < EraOf(removal.Revision)
}
