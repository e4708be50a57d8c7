package watch

import (
	"maps"
	"time"

	"magnoliaworks/core/topo"
)

// Learn applies an object that a call outside the watches has brought, if it is newer than the known one.
func (w *Watcher) Learn(kind Kind, o Object) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordEra(o.Revision)
	w.cache.accounts.see(o.Revision)
	w.applyNewer(kind, []Object{o}, byReading)
}

// Object returns the newest known version of an object, which may be its removal; ok is false if none is known.
func (w *Watcher) Object(kind Kind, name string) (o Object, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e, ok := w.cache.entries[kind][name]
	return e.object, ok
}

// applyRollout applies an order. One that isn't an order counts as removed. The times at which an order was first seen and given
// stay while it names the same version and wasn't created anew.
func (w *Watcher) applyRollout(o Object, by origin) {
	known, ok := w.rollouts[o.Name]
	if o.Deleted {
		delete(w.rollouts, o.Name)
		w.journal.Record("follow", o.Name, "order removed", revisionText(o, by))
		return
	}
	r, err := w.decoder.Rollout(o.Name, o.Value)
	if err != nil {
		delete(w.rollouts, o.Name)
		w.journal.Record("follow", o.Name, "order ignored", err.Error())
		return
	}
	r.Name, r.Revision, r.SeenAt, r.GivenAfter = o.Name, o.Revision, time.Now(), w.knownBefore()
	if ok && isSameOrder(known, r) && (RevisionOf(known.Created) == RevisionOf(r.Created) || w.mayBeRewritten(known, r)) {
		r.SeenAt, r.GivenAfter = known.SeenAt, known.GivenAfter
	}
	if ok && w.hasLostState(known, r) {
		r.State, r.Unwritten = known.State, true
		w.keepState(o, known.State)
	}
	w.rollouts[o.Name] = r
	if !ok || known.State != r.State || known.Version != r.Version {
		w.journal.Record("follow", o.Name, "order for version "+r.Version+" "+r.State.String(), revisionText(o, by))
	}
}

// isSameOrder reports whether two orders of one name are for the same version.
func isSameOrder(a, b topo.Rollout) bool { return a.Service == b.Service && a.Version == b.Version }

// mayBeRewritten reports whether an order is in the store anew since it has returned from a copy just now. The caller holds mu.
func (w *Watcher) mayBeRewritten(known, r topo.Rollout) bool {
	return EraOf(known.Revision) > 0 && EraOf(known.Revision) < EraOf(r.Revision) && time.Now().Before(w.rewriteUntil)
}

// hasLostState reports whether an order lacks its known state only since the store has returned from a copy. The caller holds mu.
func (w *Watcher) hasLostState(known, r topo.Rollout) bool {
	return isSameOrder(known, r) && !r.State.Ended() && r.State < known.State && r.SeenAt.Equal(known.SeenAt) &&
		(known.Unwritten || w.mayBeRewritten(known, r))
}

// holdOrder holds an order for another version than the known one, which may be that of an older copy, until the operator has had time to
// write again. What a watch brings is written since the return. The caller holds mu.
func (w *Watcher) holdOrder(o Object, by origin) bool {
	known, ok := w.rollouts[o.Name]
	if !ok || o.Deleted || (by != byList && by != byReading) {
		return false
	}
	r, err := w.decoder.Rollout(o.Name, o.Value)
	r.Revision = o.Revision
	if err != nil || isSameOrder(known, r) || !w.mayBeRewritten(known, r) {
		return false
	}
	if held, ok := w.held[Rollouts][o.Name]; !ok || held.Revision < o.Revision {
		w.held[Rollouts][o.Name] = o
		w.journal.Record("follow", o.Name, "order held", "it may be one of an older copy of the store, "+revisionText(o, by))
	}
	return true
}

// publishRollouts replaces the orders of the state by the known ones. Of several orders for a service the newest counts.
func (w *Watcher) publishRollouts() {
	byService := make(map[string]topo.Rollout, len(w.rollouts))
	for r := range maps.Values(w.rollouts) {
		if other, ok := byService[r.Service]; !ok || other.Revision < r.Revision {
			byService[r.Service] = r
		}
	}
	w.state.Update(func(s *topo.State) *topo.State { return s.WithRollouts(byService) })
}
