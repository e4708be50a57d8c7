package watch

import (
	"fmt"
	"slices"
	"time"

	"magnoliaworks/core/topo"
)

// origin tells in the journal by what an object came: a kind of call to the store or the feed of another host.
type origin string

// The origins.
const (
	byList      origin = "a list"
	byStaleList origin = "a stale list"
	byWatch     origin = "a watch"
	byCheck     origin = "a check of the watch"
	byHost      origin = "another host"
	byRelease   origin = "the end of the time for which it was held"
	byReading   origin = "a call for this object"
)

// applyList applies a full list from the store.
func (w *Watcher) applyList(kind Kind, list Changes, by origin) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.journal.Record("follow", kind.String(), "listed", fmt.Sprintf("%d objects up to %s by %s that states %s",
		len(list.Objects), ordinalText(newestRevision(list.Objects)), by, ordinalText(list.Stated)))
	w.listed[kind] = true
	w.recordReached()
	if by == byStaleList {
		w.mergeStale(kind, list)
		return
	}
	w.mergeList(kind, list, by)
}

// mergeStale applies a stale list. If its data may be from before the store's return, it isn't known to be complete up to any revision
// of the present era. It reports whether the data is from the era that the list states. The caller holds mu.
func (w *Watcher) mergeStale(kind Kind, list Changes) (fromEra bool) {
	w.recordEra(list.Stated)
	if fromEra = w.isFromEra(list); fromEra {
		w.mergeList(kind, list, byStaleList)
	} else {
		w.applyNewer(kind, inEarlierEra(list.Objects), byStaleList)
	}
	return fromEra
}

// newestRevision returns the newest revision of the objects, and 0 if there are none.
func newestRevision(objects []Object) uint64 {
	var newest uint64
	for _, o := range objects {
		newest = max(newest, o.Revision)
	}
	return newest
}

// mergeList applies a full list, which may be older than what is known. Objects that it lacks are removed if they have not
// changed since the revision up to which the list is complete; objects that it has but that are unknown at a later revision were
// removed. The caller holds mu.
func (w *Watcher) mergeList(kind Kind, list Changes, by origin) {
	w.recordEra(max(list.Revision, list.Stated, newestRevision(list.Objects)))
	known := w.cache.revisions[kind]
	var objects []Object
	if list.Revision > known {
		objects = w.cache.removals(kind, list.Objects, list.Revision)
	}
	objects = append(objects, newerThan(slices.Clone(list.Objects), known)...)
	w.cache.learn(kind, list.Objects, list.Revision)
	w.applyNewer(kind, w.holdRemovals(kind, objects), by)
}

// applyChanges applies changes that a watch or ChangesAfter returned.
func (w *Watcher) applyChanges(kind Kind, changes Changes, by origin) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mergeChanges(kind, changes, by)
}

// mergeChanges is applyChanges. The caller holds mu.
func (w *Watcher) mergeChanges(kind Kind, changes Changes, by origin) {
	w.recordReached()
	w.recordEra(changes.Revision)
	w.cache.learn(kind, changes.Objects, changes.Revision)
	w.applyNewer(kind, w.holdRemovals(kind, changes.Objects), by)
}

// holdRemovals puts removals into held that may be undone soon, and returns the other objects. Servers may register again after an
// outage; draining ones are removed at once. The operator may write again what a copy of the store lacks. The caller holds mu.
func (w *Watcher) holdRemovals(kind Kind, objects []Object) []Object {
	var effective []Object
	for _, o := range objects {
		if !o.Deleted || !w.mayReturn(kind, o) {
			effective = append(effective, o)
			continue
		}
		w.held[kind][o.Name] = o
		w.journal.Record("follow", o.Name, "removal held", "it may be written again after an outage or a return of the store")
	}
	return effective
}

// mayReturn reports whether a removed object may be written again soon. The caller holds mu.
func (w *Watcher) mayReturn(kind Kind, removal Object) bool {
	now := time.Now()
	if kind == Servers {
		known, ok := w.registrations[removal.Name]
		return ok && !known.Server.Draining && (w.unreached || now.Before(w.holdUntil))
	}
	return now.Before(w.rewriteUntil) && w.isLostByReturn(kind, removal)
}

// applyNewer applies those objects that are newer than their known revision, publishes the result to the state and wakes
// waiting feeds. The caller holds mu.
func (w *Watcher) applyNewer(kind Kind, objects []Object, by origin) {
	applied := false
	for _, o := range objects {
		if !w.cache.isNewer(kind, o) && !w.bringsLostState(kind, o) {
			continue
		}
		if kind == Rollouts && w.holdOrder(o, by) {
			continue
		}
		applied = true
		if w.isOlderCopy(kind, o, by) {
			w.carryOver(kind, o)
			continue
		}
		w.cache.put(kind, o)
		w.applyObject(kind, o, by)
	}
	if !applied {
		return
	}
	switch kind {
	case Servers:
		w.publishServers()
	case Evacuations:
		w.publishEvacuated()
	case Rollouts:
		w.publishRollouts()
	}
	w.notify()
}

// notify wakes waiting feeds. The caller holds mu.
func (w *Watcher) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// applyObject applies one object; servers, evacuations and roll-outs are published to the state by applyNewer.
func (w *Watcher) applyObject(kind Kind, o Object, by origin) {
	switch kind {
	case Configuration:
		w.applyConfig(o, by)
	case Servers:
		w.applyServer(o, by)
	case Evacuations:
		event := "taken out"
		if o.Deleted {
			event = "back in service"
			delete(w.evacuated, o.Name)
		} else {
			w.evacuated[o.Name] = true
		}
		w.journal.Record("follow", o.Name, event, revisionText(o, by))
	case Rollouts:
		w.applyRollout(o, by)
	}
}

// applyConfig stores a configuration and publishes it once the host has started. The current one stays if it was removed or the new one can't be decoded.
func (w *Watcher) applyConfig(o Object, by origin) {
	if o.Deleted {
		w.journal.Record("follow", o.Name, "kept in force", "the operator's configuration was removed")
		return
	}
	config, err := w.decoder.Config(o.Value)
	if err != nil {
		w.journal.Record("follow", o.Name, "ignored", err.Error())
		return
	}
	w.config, w.configCause = config, revisionText(o, by)
	if w.started {
		w.publishConfig()
	}
}

// publishConfig puts the newest configuration into force, unless a later version is. Versions only increase. The caller holds mu.
func (w *Watcher) publishConfig() {
	w.state.Update(func(s *topo.State) *topo.State { return s.WithConfig(w.config) })
	if inForce := w.state.Load().Config(); inForce.Version > w.config.Version {
		w.journal.Record("follow", "configuration", "not put into force",
			fmt.Sprintf("version %d, %s; version %d is in force", w.config.Version, w.configCause, inForce.Version))
		return
	}
	w.journal.Record("follow", "configuration", fmt.Sprintf("version %d in force", w.config.Version), w.configCause)
	for _, problem := range w.config.Problems() {
		w.countEvent(eventAccountLeftOut)
		w.journal.Record("follow", "configuration", "left out", problem)
	}
}

// eventAccountLeftOut counts the parts of client accounts that were left out of a version because they can't be right.
const eventAccountLeftOut = "account_left_out"

// start publishes the configuration from now on. Until then the host has none and takes no requests.
func (w *Watcher) start(cause string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started = true
	w.journal.Record("follow", "store", "compared with other hosts", cause)
	if w.config != nil {
		w.publishConfig()
	}
}

// applyServer applies a registration. One that can't be decoded removes the server; one that the server wrote before the
// known registration is ignored.
func (w *Watcher) applyServer(o Object, by origin) {
	delete(w.late, o.Name)
	known, ok := w.registrations[o.Name]
	if o.Deleted {
		delete(w.registrations, o.Name)
		if ok {
			w.removed.put(o.Name, w.lastRegistration(known, o), time.Now())
			w.journal.Record("follow", o.Name, "gone", revisionText(o, by))
		}
		return
	}
	r, err := w.decoder.Server(o.Name, o.Value, time.Now())
	if err != nil {
		w.journal.Record("follow", o.Name, "registration ignored", err.Error())
		delete(w.registrations, o.Name)
		return
	}
	if ok && r.Before(known) {
		w.journal.Record("follow", o.Name, "registration ignored", "it is older than the known registration")
		return
	}
	if !ok && w.removed.isLate(o.Name, r, time.Now()) {
		w.journal.Record("follow", o.Name, "registration held", "its start and sequence are not newer than those of a removed entry")
		w.late[o.Name] = lateRegistration{
			object: o,
			due:    time.Now().Add(lateRegistrationTime),
		}
		return
	}
	w.registrations[o.Name] = r
	if !ok || known.Server.Draining != r.Server.Draining || known.Server.Incarnation != r.Server.Incarnation {
		w.journal.Record("follow", o.Name, stateName(r.Server), revisionText(o, by)+", version "+r.Server.Version)
	}
}

// lastRegistration returns the newest registration of a server that is removed: the known one, or that in its removal.
func (w *Watcher) lastRegistration(known Registration, removal Object) Registration {
	if len(removal.Value) == 0 {
		return known
	}
	last, err := w.decoder.Server(removal.Name, removal.Value, time.Now())
	if err != nil || last.Before(known) {
		return known
	}
	return last
}

// publishServers replaces the servers of the state by the known registrations.
func (w *Watcher) publishServers() {
	servers := make(map[string]topo.Server, len(w.registrations))
	for id, r := range w.registrations {
		servers[id] = r.Server
	}
	w.state.Update(func(s *topo.State) *topo.State { return s.WithServers(servers) })
}

// publishEvacuated replaces the evacuated data centres of the state by the known ones.
func (w *Watcher) publishEvacuated() {
	evacuated := make(map[string]bool, len(w.evacuated))
	for name := range w.evacuated {
		evacuated[name] = true
	}
	w.state.Update(func(s *topo.State) *topo.State { return s.WithEvacuated(evacuated) })
}

// stateName returns the journal's word for the state that a server has registered.
func stateName(s topo.Server) string {
	if s.Draining {
		return "leaving"
	}
	return "serving"
}

func revisionText(o Object, by origin) string {
	return fmt.Sprintf("%s, brought by %s", ordinalText(o.Revision), by)
}
