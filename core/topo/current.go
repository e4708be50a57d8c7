package topo

import (
	"sync"
	"sync/atomic"
)

// Current holds the state in force on a host.
type Current struct {
	mu      sync.Mutex
	state   atomic.Pointer[State]
	changed chan struct{}
}

// NewCurrent returns a holder of an empty state.
func NewCurrent() *Current {
	c := &Current{
		changed: make(chan struct{}),
	}
	c.state.Store(&State{})
	return c
}

// Load returns the state in force.
func (c *Current) Load() *State { return c.state.Load() }

// Update replaces the state by what change makes of it.
func (c *Current) Update(change func(*State) *State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.state.Load()
	after := change(before)
	if after == before {
		return
	}
	c.state.Store(after)
	close(c.changed)
	c.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change.
func (c *Current) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}
