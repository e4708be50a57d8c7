package pool

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/query"
	"magnoliaworks/core/route"
	"magnoliaworks/core/timer"
	"magnoliaworks/core/trace"
)

const (
	// reserved is the number of connections of a server that stay free for hosts that restart or join.
	reserved = 2
	// warmNear and warmFar are the connections kept open to each server of this data centre and of others.
	warmNear = 2
	warmFar  = 1
	// sweepPeriod is the time between two looks at whether connections are to be opened or closed.
	sweepPeriod = 500 * time.Millisecond
)

// Observer learns how backend servers do.
type Observer interface {
	// Began records that a call of a kind goes to a server.
	Began(server, kind string)
	// Ended records the result of a call that took the given time.
	Ended(server, kind string, took time.Duration, result query.Result)
	// Cancelled records that a call was withdrawn after the given time.
	Cancelled(server, kind string, took time.Duration, lost bool)
}

// Directory tells which backend servers there are.
type Directory interface {
	// Servers returns all servers that may get calls.
	Servers() []route.Server
	// HostCount returns the number of hosts that share the connections of a server.
	HostCount() int
}

// Group holds a pool for each backend server.
type Group struct {
	dataCentre string
	dialer     Dialer
	directory  Directory
	observer   Observer
	timer      *timer.Service
	journal    *trace.Journal
	count      func(what string)

	mu    sync.Mutex
	ctx   context.Context
	tasks *errgroup.Group
	pools map[string]*Pool

	// ending guards the start of tasks against the end of the group; it is taken inside the locks of pools.
	ending sync.Mutex
	ended  bool
}

// Parts are what a Group works with.
type Parts struct {
	// DataCentre is the data centre of this host.
	DataCentre string
	Dialer     Dialer
	Directory  Directory
	Observer   Observer
	Timer      *timer.Service
	Journal    *trace.Journal
	// Count counts events of connections by name.
	Count func(what string)
}

// New returns a group without connections; it opens none until Run is called.
func New(parts Parts) *Group {
	return &Group{
		dataCentre: parts.DataCentre,
		dialer:     parts.Dialer,
		directory:  parts.Directory,
		observer:   parts.Observer,
		timer:      parts.Timer,
		journal:    parts.Journal,
		count:      parts.Count,
		pools:      make(map[string]*Pool),
	}
}

// Run keeps connections until ctx ends.
func (g *Group) Run(ctx context.Context) error {
	tasks, ctx := errgroup.WithContext(ctx)
	g.mu.Lock()
	g.ctx, g.tasks = ctx, tasks
	g.mu.Unlock()
	ticks := g.timer.Subscribe(ctx, sweepPeriod)
	for {
		g.Sweep()
		select {
		case <-ctx.Done():
			g.end()
			g.closeAll()
			return tasks.Wait()
		case <-ticks:
		}
	}
}

// Submit runs a call on a server. The returned function gives it up; see Pool.Abandon.
func (g *Group) Submit(server route.Server, call *Call) (abandon func(grace time.Duration) (withdrawn bool)) {
	p := g.pool(server)
	if p == nil {
		call.finish(query.NotExecuted{
			Reason: "host stopped",
		})
		return func(time.Duration) bool { return true }
	}
	p.Submit(call)
	return func(grace time.Duration) bool { return p.Abandon(call, grace) }
}

// Sweep opens warm connections to all servers and drops the pools of servers that are gone.
func (g *Group) Sweep() {
	servers := g.directory.Servers()
	known := make(map[string]string, len(servers))
	for _, s := range servers {
		known[s.ID] = s.Address
	}
	g.mu.Lock()
	var gone []*Pool
	for id, p := range g.pools {
		if known[id] != p.server.Address {
			gone = append(gone, p)
			delete(g.pools, id)
		}
	}
	g.mu.Unlock()
	for _, p := range gone {
		p.close()
	}
	for _, s := range servers {
		if p := g.pool(s); p != nil {
			p.Warm(g.warm(s))
		}
	}
}

// warm returns the number of connections to keep open to a server.
func (g *Group) warm(s route.Server) int {
	if s.DataCentre == g.dataCentre {
		return warmNear
	}
	if g.bound(s) < warmNear {
		return 0
	}
	return warmFar
}

// bound returns this host's part of the connections that a server takes.
func (g *Group) bound(s route.Server) int {
	return max((s.MaxConnections-reserved)/max(g.directory.HostCount(), 1), 1)
}

func (g *Group) pool(s route.Server) *Pool {
	bound := g.bound(s)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.tasks == nil || g.ctx.Err() != nil {
		return nil
	}
	p, ok := g.pools[s.ID]
	if !ok || p.server.Address != s.Address {
		p = &Pool{
			group:  g,
			server: s,
			all:    make(map[*lane]bool),
		}
		g.pools[s.ID] = p
	}
	p.mu.Lock()
	p.bound = bound
	p.mu.Unlock()
	return p
}

// start runs a task of a pool; it reports false when the group has ended.
func (g *Group) start(task func(ctx context.Context) error) bool {
	g.ending.Lock()
	defer g.ending.Unlock()
	if g.ended {
		return false
	}
	ctx := g.ctx
	g.tasks.Go(func() error { return task(ctx) })
	return true
}

// end keeps further tasks from starting, so that those that run can be waited for.
func (g *Group) end() {
	g.ending.Lock()
	defer g.ending.Unlock()
	g.ended = true
}

func (g *Group) closeAll() {
	g.mu.Lock()
	pools := g.pools
	g.pools = make(map[string]*Pool)
	g.mu.Unlock()
	for _, p := range pools {
		p.abort()
	}
}
