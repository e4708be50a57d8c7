package magnoliaworks

import (
	"sync/atomic"
	"time"

	"magnoliaworks/core/route"
	"magnoliaworks/core/server"
)

// homeConnectDelay is how long the view must stay unchanged before a host connects to the servers that it is home of.
const homeConnectDelay = time.Second

// directory is the routing table as the server group sees it. While the view still changes, as when a fleet starts,
// HomeServers is empty and no connections are opened ahead of work: hosts with a partial view would use up the servers'
// connections.
type directory struct {
	routes *route.CurrentTable
	// viewChangedAt is the time of the last change of the view in Unix nanoseconds.
	viewChangedAt atomic.Int64
}

// Server implements server.Directory.
func (d *directory) Server(id string) (server.Spec, bool) { return d.routes.Server(id) }

// HomeServers implements server.Directory.
func (d *directory) HomeServers() []server.Spec {
	if time.Since(time.Unix(0, d.viewChangedAt.Load())) < homeConnectDelay {
		return nil
	}
	return d.routes.HomeServers()
}

// recordViewChange records that the view changed just now.
func (d *directory) recordViewChange() { d.viewChangedAt.Store(time.Now().UnixNano()) }
