package route

import (
	"sync/atomic"

	"magnoliaworks/core/server"
)

// Current holds the present table of a host.
type Current struct {
	table atomic.Pointer[Table]
}

// Load returns the present table.
func (c *Current) Load() *Table { return c.table.Load() }

// Store replaces the present table.
func (c *Current) Store(t *Table) { c.table.Store(t) }

// Server implements server.Directory.
func (c *Current) Server(id string) (server.Spec, bool) { return c.Load().Server(id) }

// Homed implements server.Directory.
func (c *Current) Homed() []server.Spec { return c.Load().Homed() }
