package config

import (
	"sync"
	"sync/atomic"
)

// Current holds the state in force on a host. The version of a scope never decreases. It is safe for concurrent use.
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

// State returns the state in force.
func (c *Current) State() State { return *c.state.Load() }

// Merge puts the objects that are newer than those of the state in force, all at once, and returns them.
func (c *Current) Merge(objects ...Object) (merged []Object) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := *c.state.Load()
	for _, o := range objects {
		next, newer := state.With(o)
		if newer {
			state, merged = next, append(merged, o)
		}
	}
	if len(merged) > 0 {
		c.state.Store(&state)
		close(c.changed)
		c.changed = make(chan struct{})
	}
	return merged
}

// Changed returns a channel that is closed at the next change of the state.
func (c *Current) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}
