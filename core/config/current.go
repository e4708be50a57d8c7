package config

import (
	"sync"
	"sync/atomic"
)

// Current holds the state in force on a host. It never returns to an older version of a scope.
type Current struct {
	mu      sync.Mutex
	state   atomic.Pointer[State]
	changed chan struct{}
}

// NewCurrent returns a holder of an empty state.
func NewCurrent() *Current {
	r := &Current{
		changed: make(chan struct{}),
	}
	r.state.Store(&State{})
	return r
}

// State returns the state in force.
func (r *Current) State() State { return *r.state.Load() }

// Merge puts those of the objects in force that are newer than the present ones and reports whether there were any.
func (r *Current) Merge(objects ...Object) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	state, any := *r.state.Load(), false
	for _, o := range objects {
		next, newer := state.With(o)
		state, any = next, any || newer
	}
	if any {
		r.state.Store(&state)
		close(r.changed)
		r.changed = make(chan struct{})
	}
	return any
}

// Changed returns a channel that is closed at the next change.
func (r *Current) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}
