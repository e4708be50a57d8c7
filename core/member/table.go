package member

import (
	"sync"
	"sync/atomic"
	"time"
)

// maxUpdatesPerPing is the number of recent changes that a ping carries.
const maxUpdatesPerPing = 12

// pingsPerUpdate is the number of pings that carry one change.
const pingsPerUpdate = 6

// Table holds the present view of a host. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	self    Member
	view    atomic.Pointer[View]
	changed chan struct{}
	// since tells when each suspect, unreachable or left member got that state, by the local clock.
	since map[string]time.Time
	// pendingUpdates holds the IDs of recently changed members with the number of pings that still carry them.
	pendingUpdates map[string]int
}

// NewTable returns a table that knows only self.
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

// View returns the present view.
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

// Merge takes in news about members. News that contradicts the host's own state is answered by a higher incarnation.
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

// SetSelfState changes the host's own state.
func (t *Table) SetSelfState(s State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self = t.self.WithState(s).WithIncarnation(t.self.Incarnation + 1)
	t.put(t.self)
}

// Suspect marks a member as suspect unless its record has changed since m was read.
func (t *Table) Suspect(m Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, ok := t.View().Get(m.ID)
	if ok && current.Incarnation == m.Incarnation && current.State == Alive {
		t.put(current.WithState(Suspect))
	}
}

// Expire marks as unreachable what has been suspect or leaving without contact for too long,
// and forgets what has been gone for longer than forget.
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

// RestartTimeouts restarts the clock of every suspicion; a host calls it after it was paused itself.
func (t *Table) RestartTimeouts(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.since {
		t.since[id] = now
	}
}

// NextUpdates returns recent changes for the next ping.
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

func (t *Table) refute(m Member) {
	if m.supersedes(t.self) {
		t.self = t.self.WithIncarnation(m.Incarnation + 1)
		t.put(t.self)
	}
}

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

func (t *Table) publish(view View) {
	t.view.Store(&view)
	close(t.changed)
	t.changed = make(chan struct{})
}
