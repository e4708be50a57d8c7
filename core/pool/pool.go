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
	// Started records that a call of a kind goes to a server.
	Started(server, kind string)
	// Finished records the result of a call that took the given time.
	Finished(server, kind string, took time.Duration, result query.Result)
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

// Pool holds a pool of connections for each backend server.
type Pool struct {
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
	pools map[string]*serverPool

	// ending guards the start of tasks against the end of the Pool; it is taken inside the locks of pools.
	ending sync.Mutex
	ended  bool
}

// Options are what a Pool works with.
type Options struct {
	// DataCentre is the data centre of this host.
	DataCentre string
	Dialer     Dialer
	Directory  Directory
	Observer   Observer
	Timer      *timer.Service
	Journal    *trace.Journal
	// CountEvent counts events of connections by name.
	CountEvent func(what string)
}

// New returns a pool without connections; it opens none until Run is called.
func New(parts Options) *Pool {
	return &Pool{
		dataCentre: parts.DataCentre,
		dialer:     parts.Dialer,
		directory:  parts.Directory,
		observer:   parts.Observer,
		timer:      parts.Timer,
		journal:    parts.Journal,
		count:      parts.CountEvent,
		pools:      make(map[string]*serverPool),
	}
}

// Run keeps connections until ctx ends.
func (p *Pool) Run(ctx context.Context) error {
	tasks, ctx := errgroup.WithContext(ctx)
	p.mu.Lock()
	p.ctx, p.tasks = ctx, tasks
	p.mu.Unlock()
	ticks := p.timer.Subscribe(ctx, sweepPeriod)
	for {
		p.Reconcile()
		select {
		case <-ctx.Done():
			p.end()
			p.closeAll()
			return tasks.Wait()
		case <-ticks:
		}
	}
}

// Submit runs a call on a server. The returned function gives it up; see serverPool.Cancel.
func (p *Pool) Submit(server route.Server, call *Call) (abandon func(grace time.Duration) (withdrawn bool)) {
	sp := p.pool(server)
	if sp == nil {
		call.finish(query.NotExecuted{
			Reason: "host stopped",
		})
		return func(time.Duration) bool { return true }
	}
	sp.Submit(call)
	return func(grace time.Duration) bool { return sp.Cancel(call, grace) }
}

// Reconcile opens warm connections to all servers and drops the pools of servers that are gone.
func (p *Pool) Reconcile() {
	servers := p.directory.Servers()
	known := make(map[string]string, len(servers))
	for _, s := range servers {
		known[s.ID] = s.Address
	}
	p.mu.Lock()
	var gone []*serverPool
	for id, sp := range p.pools {
		if known[id] != sp.server.Address {
			gone = append(gone, sp)
			delete(p.pools, id)
		}
	}
	p.mu.Unlock()
	for _, sp := range gone {
		sp.close()
	}
	for _, s := range servers {
		if sp := p.pool(s); sp != nil {
			sp.EnsureOpen(p.warm(s))
		}
	}
}

// warm returns the number of connections to keep open to a server.
func (p *Pool) warm(s route.Server) int {
	if s.DataCentre == p.dataCentre {
		return warmNear
	}
	if p.bound(s) < warmNear {
		return 0
	}
	return warmFar
}

// bound returns this host's part of the connections that a server takes.
func (p *Pool) bound(s route.Server) int {
	return max((s.MaxConnections-reserved)/max(p.directory.HostCount(), 1), 1)
}

func (p *Pool) pool(s route.Server) *serverPool {
	bound := p.bound(s)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tasks == nil || p.ctx.Err() != nil {
		return nil
	}
	sp, ok := p.pools[s.ID]
	if !ok || sp.server.Address != s.Address {
		sp = &serverPool{
			pool:   p,
			server: s,
			all:    make(map[*lane]bool),
		}
		p.pools[s.ID] = sp
	}
	sp.mu.Lock()
	sp.bound = bound
	sp.mu.Unlock()
	return sp
}

// start runs a task of a server's pool; it reports false when the Pool has ended.
func (p *Pool) start(task func(ctx context.Context) error) bool {
	p.ending.Lock()
	defer p.ending.Unlock()
	if p.ended {
		return false
	}
	ctx := p.ctx
	p.tasks.Go(func() error { return task(ctx) })
	return true
}

// end keeps further tasks from starting, so that those that run can be waited for.
func (p *Pool) end() {
	p.ending.Lock()
	defer p.ending.Unlock()
	p.ended = true
}

func (p *Pool) closeAll() {
	p.mu.Lock()
	pools := p.pools
	p.pools = make(map[string]*serverPool)
	p.mu.Unlock()
	for _, sp := range pools {
		sp.abort()
	}
}
