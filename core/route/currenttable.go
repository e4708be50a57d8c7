package route

import (
	"sync/atomic"

	"magnoliaworks/core/server"
)

// CurrentTable holds the current routing table of a host. It is safe for concurrent use.
type CurrentTable struct {
	table atomic.Pointer[Table]
}

// Load returns the current table.
func (c *CurrentTable) Load() *Table { return c.table.Load() }

// Store replaces the current table.
func (c *CurrentTable) Store(t *Table) { c.table.Store(t) }

// Server implements server.Directory.
func (c *CurrentTable) Server(id string) (server.Spec, bool) { return c.Load().Server(id) }

// HomeServers implements server.Directory.
func (c *CurrentTable) HomeServers() []server.Spec { return c.Load().HomeServers() }
