package member

import (
	"sync"
	"sync/atomic"
	"time"
)

// maxUpdatesPerPing is the largest number of updates, the records of recently changed members, that a ping or the
// answer to one carries.
const maxUpdatesPerPing = 12

// pingsPerUpdate is the number of pings, or answers to pings, in which a host sends one update.
const pingsPerUpdate = 6

// Table holds the current view of a host. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	self    Member
	view    atomic.Pointer[View]
	changed chan struct{}
	// since holds, by ID, the local time from which the state timeout of a member counts: that of the last change of its
	// record or of the last call of RestartTimeouts.
	since map[string]time.Time
	// pendingUpdates holds, by ID, the number of pings, or answers to pings, that still carry the record of a recently
	// changed member.
	pendingUpdates map[string]int
}

// NewTable returns a table whose view contains only self.
func NewTable(self Member) *Table {
	t := &Table{
		self:           self,
		changed:        make(chan struct{}),
		since:          make(map[string]time.Time),
		pendingUpdates: map[string]int{self.ID: pingsPerUpdate},
	}
	view, _ := View{}.With(self)
	t.view.Store(&view)
	return t
}

// View returns the current view.
func (t *Table) View() View { return *t.view.Load() }

// Self returns the host's own record.
func (t *Table) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Changed returns a channel that is closed at the next change of the view.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Merge adds received records that are newer than those of the view.
// A record of this host that supersedes its own is refuted by a higher incarnation.
func (t *Table) Merge(members ...Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range members {
		if m.ID == t.self.ID {
			t.refute(m)
			continue
		}
		t.put(m)
	}
}

// SetSelfState sets the host's own state and increases its incarnation.
func (t *Table) SetSelfState(s State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self = t.self.WithState(s).WithIncarnation(t.self.Incarnation + 1)
	t.put(t.self)
}

// Suspect marks a member as suspect if it is alive and its incarnation has not changed since m was read.
func (t *Table) Suspect(m Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, ok := t.View().Get(m.ID)
	if ok && current.Incarnation == m.Incarnation && current.State == Alive {
		t.put(current.WithState(Suspect))
	}
}

// Expire marks members as unreachable that have been suspect for longer than suspicion,
// and removes members that have been leaving, unreachable or left for longer than removal.
func (t *Table) Expire(now time.Time, suspicion, removal time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.View().Members() {
		age := now.Sub(t.since[m.ID])
		switch {
		case m.State == Suspect && age > suspicion:
			t.put(m.WithState(Unreachable))
		case m.State >= Leaving && age > removal:
			t.remove(m.ID)
		}
	}
}

// RestartTimeouts restarts the state timeouts of all members at now. A host calls it after a pause of its own process,
// in which it could not receive refutations.
func (t *Table) RestartTimeouts(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.since {
		t.since[id] = now
	}
}

// NextUpdates returns the records that the next ping, or answer to a ping, carries, and counts it for each of them.
func (t *Table) NextUpdates() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var updates []Member
	for id, remaining := range t.pendingUpdates {
		if len(updates) == maxUpdatesPerPing {
			break
		}
		if m, ok := t.View().Get(id); ok {
			updates = append(updates, m)
		}
		t.pendingUpdates[id] = remaining - 1
		if remaining <= 1 {
			delete(t.pendingUpdates, id)
		}
	}
	return updates
}

// refute gives the host's own record a higher incarnation than m if m supersedes it.
func (t *Table) refute(m Member) {
	if m.supersedes(t.self) {
		t.self = t.self.WithIncarnation(m.Incarnation + 1)
		t.put(t.self)
	}
}

// put adds m to the view, and to the pending updates, unless the view has an equal or newer record.
func (t *Table) put(m Member) {
	view, newer := t.View().With(m)
	if !newer {
		return
	}
	t.since[m.ID] = time.Now()
	t.pendingUpdates[m.ID] = pingsPerUpdate
	t.publish(view)
}

func (t *Table) remove(id string) {
	delete(t.since, id)
	delete(t.pendingUpdates, id)
	t.publish(t.View().Without(id))
}

// publish replaces the view and closes the channel that Changed returned.
func (t *Table) publish(view View) {
	t.view.Store(&view)
	close(t.changed)
	t.changed = make(chan struct{})
}
