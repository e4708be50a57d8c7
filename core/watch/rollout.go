package watch

import (
	"maps"
	"time"

	"magnoliaworks/core/topo"
)

// Learn applies an object that another host or a call outside the watches has brought, if it is newer than the known one.
func (w *Watcher) Learn(kind Kind, o Object) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cache.accounts.see(o.Revision)
	w.applyNewer(kind, []Object{o}, byHost)
}

// Object returns the newest known version of an object, which may be its removal; ok is false if none is known.
func (w *Watcher) Object(kind Kind, name string) (o Object, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e, ok := w.cache.entries[kind][name]
	return e.object, ok
}

// applyRollout applies an order. One that isn't an order counts as removed. The time at which an order was first seen stays while it
// names the same version and wasn't created anew.
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
	r.Name, r.Revision, r.SeenAt = o.Name, o.Revision, time.Now()
	if ok && known.Service == r.Service && known.Version == r.Version && RevisionOf(known.Created) == RevisionOf(r.Created) {
		r.SeenAt = known.SeenAt
	}
	w.rollouts[o.Name] = r
	if !ok || known.State != r.State || known.Version != r.Version {
		w.journal.Record("follow", o.Name, "order for version "+r.Version+" "+r.State.String(), revisionText(o, by))
	}
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
