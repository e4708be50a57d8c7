package topo

import (
	"sync"
	"sync/atomic"
)

// Current holds the current state of a host. It is safe for concurrent use.
type Current struct {
	mu      sync.Mutex
	state   atomic.Pointer[State]
	changed chan struct{}
}

// NewCurrent returns a Current that holds an empty state.
func NewCurrent() *Current {
	c := &Current{
		changed: make(chan struct{}),
	}
	c.state.Store(&State{})
	return c
}

// Load returns the current state.
func (c *Current) Load() *State { return c.state.Load() }

// Update replaces the current state by the result of change, which runs under a lock. If change returns its argument,
// nothing happens.
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

// Changed returns a channel that is closed when the state is next replaced.
func (c *Current) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}
