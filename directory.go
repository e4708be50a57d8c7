package magnoliaworks

import (
	"sync/atomic"
	"time"

	"magnoliaworks/core/route"
	"magnoliaworks/core/server"
)

// settleTime is the time without a change of the view after which a host connects to the servers that it is home of.
const settleTime = time.Second

// directory is the routing table as the server group sees it. While the view still changes, as at the start of a fleet,
// it names no server to connect to ahead of work, so that hosts with a partial view do not use up servers' connections.
type directory struct {
	routes *route.CurrentTable
	// changed is the time of the last change of the view in Unix nanoseconds.
	changed atomic.Int64
}

// Server implements server.Directory.
func (d *directory) Server(id string) (server.Spec, bool) { return d.routes.Server(id) }

// HomeServers implements server.Directory.
func (d *directory) HomeServers() []server.Spec {
	if time.Since(time.Unix(0, d.changed.Load())) < settleTime {
		return nil
	}
	return d.routes.HomeServers()
}

// noteChange records that the view has changed.
func (d *directory) noteChange() { d.changed.Store(time.Now().UnixNano()) }
