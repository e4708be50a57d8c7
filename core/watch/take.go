package watch

import (
	"fmt"
	"time"

	"magnoliaworks/core/topo"
)

// takeList takes in a whole list of the store. A list older than what is known is a stale read and removes nothing newer.
func (w *Watcher) takeList(kind Kind, list Changes) {
	w.mu.Lock()
	defer w.mu.Unlock()
	objects := append(w.book.absent(kind, list.Objects, list.Revision), list.Objects...)
	w.book.revisions[kind] = list.Revision
	w.recordAll(kind, w.hold(kind, objects))
}

// takeChanges takes in changes of the store.
func (w *Watcher) takeChanges(kind Kind, changes Changes) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.book.revisions[kind] = max(w.book.revisions[kind], changes.Revision)
	w.recordAll(kind, w.hold(kind, changes.Objects))
}

// hold sets removals of servers aside while these may still register again after an outage.
func (w *Watcher) hold(kind Kind, objects []Object) []Object {
	if kind != Servers {
		return objects
	}
	var rest []Object
	for _, o := range objects {
		known, ok := w.servers[o.Name]
		if o.Deleted && ok && !known.Server.Draining && time.Now().Before(w.settled) {
			w.held[o.Name] = held{
				object: o,
				due:    w.settled,
			}
			continue
		}
		rest = append(rest, o)
	}
	return rest
}

// recordAll takes in the objects that are newer than what is known of them, and puts them in force.
func (w *Watcher) recordAll(kind Kind, objects []Object) {
	any := false
	for _, o := range objects {
		if !w.book.newer(kind, o) {
			continue
		}
		any = true
		w.book.record(kind, o)
		w.apply(kind, o)
	}
	if !any {
		return
	}
	switch kind {
	case Servers:
		w.publishServers()
	case Evacuations:
		w.publishCentres()
	}
	w.wake()
}

// wake tells waiting feeds of a change.
func (w *Watcher) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Watcher) apply(kind Kind, o Object) {
	switch kind {
	case Configuration:
		w.applyPlan(o)
	case Servers:
		w.applyServer(o)
	case Evacuations:
		what := "taken out"
		if o.Deleted {
			what = "back in service"
			delete(w.centres, o.Name)
		} else {
			w.centres[o.Name] = true
		}
		w.journal.Record("follow", o.Name, what, revisionOf(o))
	}
}

func (w *Watcher) applyPlan(o Object) {
	if o.Deleted {
		w.journal.Record("follow", o.Name, "kept in force", "the operator's configuration was removed")
		return
	}
	plan, err := w.decoder.Config(o.Value)
	if err != nil {
		w.journal.Record("follow", o.Name, "ignored", err.Error())
		return
	}
	w.current.Update(func(s *topo.State) *topo.State { return s.WithConfig(plan) })
	w.journal.Record("follow", "configuration", fmt.Sprintf("version %d in force", plan.Version), revisionOf(o))
}

func (w *Watcher) applyServer(o Object) {
	delete(w.held, o.Name)
	known, ok := w.servers[o.Name]
	if o.Deleted {
		delete(w.servers, o.Name)
		if ok {
			w.journal.Record("follow", o.Name, "gone", revisionOf(o))
		}
		return
	}
	r, err := w.decoder.Server(o.Name, o.Value, time.Now())
	if err != nil {
		w.journal.Record("follow", o.Name, "registration ignored", err.Error())
		delete(w.servers, o.Name)
		return
	}
	if ok && r.Before(known) {
		w.journal.Record("follow", o.Name, "registration ignored", "it was written before the one that is known")
		return
	}
	w.servers[o.Name] = r
	if !ok || known.Server.Draining != r.Server.Draining || known.Server.Incarnation != r.Server.Incarnation {
		w.journal.Record("follow", o.Name, stateOf(r.Server), revisionOf(o))
	}
}

// publishServers puts the known servers in force.
func (w *Watcher) publishServers() {
	servers := make(map[string]topo.Server, len(w.servers))
	for id, r := range w.servers {
		servers[id] = r.Server
	}
	w.current.Update(func(s *topo.State) *topo.State { return s.WithServers(servers) })
}

// publishCentres puts in force which data centres are taken out.
func (w *Watcher) publishCentres() {
	centres := make(map[string]bool, len(w.centres))
	for name := range w.centres {
		centres[name] = true
	}
	w.current.Update(func(s *topo.State) *topo.State { return s.WithEvacuated(centres) })
}

func stateOf(s topo.Server) string {
	if s.Draining {
		return "leaving"
	}
	return "serving"
}

func revisionOf(o Object) string { return fmt.Sprintf("revision %d", o.Revision) }
