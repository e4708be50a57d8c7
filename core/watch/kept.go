package watch

import (
	"bytes"

	"magnoliaworks/core/topo"
)

// keepState puts the known state into an order that the store has lost it of, so that hosts learn it which take the order from this one.
// The caller holds mu.
func (w *Watcher) keepState(o Object, state topo.RolloutState) {
	e := w.cache.entries[Rollouts][o.Name]
	e.object.Value = w.decoder.WithState(o.Value, state)
	w.cache.entries[Rollouts][o.Name] = e
}

// keptOrders returns the orders whose states the store has lost. The caller holds mu.
func (w *Watcher) keptOrders() []Object {
	var kept []Object
	for name, r := range w.rollouts {
		if r.Unwritten {
			kept = append(kept, w.cache.entries[Rollouts][name].object)
		}
	}
	return kept
}

// bringsLostState reports whether an object is the known version of an order with a later state, which the store has lost. The caller
// holds mu.
func (w *Watcher) bringsLostState(kind Kind, o Object) bool {
	known, ok := w.rollouts[o.Name]
	if kind != Rollouts || !ok || o.Deleted || known.Revision != o.Revision || len(o.Value) == 0 ||
		bytes.Equal(w.cache.entries[Rollouts][o.Name].object.Value, o.Value) {
		return false
	}
	r, err := w.decoder.Rollout(o.Name, o.Value)
	return err == nil && r.Unwritten && isSameOrder(known, r) && r.State > known.State
}

// applyKept takes over the states that the store has lost from another host's answer. Orders that this host doesn't know, it takes from the
// store or a full update.
func (w *Watcher) applyKept(update Update) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range update.Objects[Rollouts] {
		if w.bringsLostState(Rollouts, o) {
			w.applyNewer(Rollouts, []Object{o}, byHost)
		}
	}
}
