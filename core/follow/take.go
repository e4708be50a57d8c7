package follow

import (
	"fmt"
	"time"

	"magnoliaworks/core/topo"
)

// takeList takes in a whole list of the store. A list older than what is known is a stale read and removes nothing newer.
func (f *Follower) takeList(kind Kind, list Changes) {
	f.mu.Lock()
	defer f.mu.Unlock()
	objects := append(f.book.absent(kind, list.Objects, list.Revision), list.Objects...)
	f.book.revisions[kind] = list.Revision
	f.recordAll(kind, f.hold(kind, objects))
}

// takeChanges takes in changes of the store.
func (f *Follower) takeChanges(kind Kind, changes Changes) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.book.revisions[kind] = max(f.book.revisions[kind], changes.Revision)
	f.recordAll(kind, f.hold(kind, changes.Objects))
}

// hold sets removals of servers aside while these may still register again after an outage.
func (f *Follower) hold(kind Kind, objects []Object) []Object {
	if kind != Servers {
		return objects
	}
	var rest []Object
	for _, o := range objects {
		known, ok := f.servers[o.Name]
		if o.Deleted && ok && !known.Server.Draining && time.Now().Before(f.settled) {
			f.held[o.Name] = held{
				object: o,
				due:    f.settled,
			}
			continue
		}
		rest = append(rest, o)
	}
	return rest
}

// recordAll takes in the objects that are newer than what is known of them, and puts them in force.
func (f *Follower) recordAll(kind Kind, objects []Object) {
	any := false
	for _, o := range objects {
		if !f.book.newer(kind, o) {
			continue
		}
		any = true
		f.book.record(kind, o)
		f.apply(kind, o)
	}
	if !any {
		return
	}
	switch kind {
	case Servers:
		f.publishServers()
	case Evacuations:
		f.publishCentres()
	}
	f.wake()
}

// wake tells waiting feeds of a change.
func (f *Follower) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Follower) apply(kind Kind, o Object) {
	switch kind {
	case Configuration:
		f.applyPlan(o)
	case Servers:
		f.applyServer(o)
	case Evacuations:
		what := "taken out"
		if o.Deleted {
			what = "back in service"
			delete(f.centres, o.Name)
		} else {
			f.centres[o.Name] = true
		}
		f.journal.Record("follow", o.Name, what, revisionOf(o))
	}
}

func (f *Follower) applyPlan(o Object) {
	if o.Deleted {
		f.journal.Record("follow", o.Name, "kept in force", "the operator's configuration was removed")
		return
	}
	plan, err := f.decoder.Plan(o.Value)
	if err != nil {
		f.journal.Record("follow", o.Name, "ignored", err.Error())
		return
	}
	f.current.Update(func(s *topo.State) *topo.State { return s.WithPlan(plan) })
	f.journal.Record("follow", "configuration", fmt.Sprintf("version %d in force", plan.Version), revisionOf(o))
}

func (f *Follower) applyServer(o Object) {
	delete(f.held, o.Name)
	known, ok := f.servers[o.Name]
	if o.Deleted {
		delete(f.servers, o.Name)
		if ok {
			f.journal.Record("follow", o.Name, "gone", revisionOf(o))
		}
		return
	}
	r, err := f.decoder.Server(o.Name, o.Value, time.Now())
	if err != nil {
		f.journal.Record("follow", o.Name, "registration ignored", err.Error())
		delete(f.servers, o.Name)
		return
	}
	if ok && r.Before(known) {
		f.journal.Record("follow", o.Name, "registration ignored", "it was written before the one that is known")
		return
	}
	f.servers[o.Name] = r
	if !ok || known.Server.Draining != r.Server.Draining || known.Server.Started != r.Server.Started {
		f.journal.Record("follow", o.Name, stateOf(r.Server), revisionOf(o))
	}
}

// publishServers puts the known servers in force.
func (f *Follower) publishServers() {
	servers := make(map[string]topo.Server, len(f.servers))
	for id, r := range f.servers {
		servers[id] = r.Server
	}
	f.current.Update(func(s *topo.State) *topo.State { return s.WithServers(servers) })
}

// publishCentres puts in force which data centres are taken out.
func (f *Follower) publishCentres() {
	centres := make(map[string]bool, len(f.centres))
	for name := range f.centres {
		centres[name] = true
	}
	f.current.Update(func(s *topo.State) *topo.State { return s.WithEvacuated(centres) })
}

func stateOf(s topo.Server) string {
	if s.Draining {
		return "leaving"
	}
	return "serving"
}

func revisionOf(o Object) string { return fmt.Sprintf("revision %d", o.Revision) }
