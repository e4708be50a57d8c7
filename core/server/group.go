package server

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/query"
	"magnoliaworks/core/timer"
	"magnoliaworks/core/trace"
)

// reconcilePeriod is the time between two comparisons of the connected servers with the configuration.
const reconcilePeriod = 500 * time.Millisecond

// Group manages the backend servers whose home is this host.
type Group struct {
	directory Directory
	dialer    Dialer
	timer     *timer.Service
	journal   *trace.Journal

	// mu guards the fields below. ctx and tasks are those of Run and nil before it.
	mu      sync.Mutex
	ctx     context.Context
	tasks   *errgroup.Group
	servers map[string]*Server
}

// NewGroup returns a group without servers, which refuses all work until Run is called.
func NewGroup(directory Directory, dialer Dialer, t *timer.Service, journal *trace.Journal) *Group {
	return &Group{
		directory: directory,
		dialer:    dialer,
		timer:     t,
		journal:   journal,
		servers:   make(map[string]*Server),
	}
}

// Run connects to the servers and serves sub-requests until ctx ends.
func (g *Group) Run(ctx context.Context) error {
	tasks, ctx := errgroup.WithContext(ctx)
	g.mu.Lock()
	g.ctx, g.tasks = ctx, tasks
	g.mu.Unlock()
	ticks := g.timer.Subscribe(ctx, reconcilePeriod)
	for {
		g.Reconcile()
		select {
		case <-ctx.Done():
			return tasks.Wait()
		case <-ticks:
		}
	}
}

// Submit queues a sub-request for its backend server, or delivers at once why it is not executed.
// cancel drops the sub-request when its result is no longer wanted.
func (g *Group) Submit(sub query.SubRequest, deliver func(query.Result)) (cancel func()) {
	s, reason := g.find(sub.Server)
	if reason != "" {
		deliver(query.NotExecuted{
			Reason: reason,
		})
		return func() {}
	}
	job := s.Submit(sub, deliver)
	return func() { s.Cancel(job) }
}

// find returns the server, or the reason why this host sends it no work.
func (g *Group) find(id string) (*Server, string) {
	spec, ok := g.directory.Server(id)
	if !ok {
		return nil, "server not in the configuration"
	}
	switch spec.Assignment {
	case OutOfService:
		return nil, "taken out of service"
	case Unassigned:
		return nil, "home moved"
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.tasks == nil || g.ctx.Err() != nil {
		return nil, "host stopped"
	}
	return g.ensure(spec), ""
}

// ensure returns the server with the given description, and starts it if it is new or has moved to another address, where
// the one at the old address is closed. The caller holds g.mu.
func (g *Group) ensure(spec Spec) *Server {
	if known, ok := g.servers[spec.ID]; ok {
		if known.spec.Address == spec.Address {
			return known
		}
		known.close()
	}
	s := newServer(spec, g.dialer, g.timer, g.journal)
	g.servers[spec.ID] = s
	ctx := g.ctx
	g.tasks.Go(func() error { return s.run(ctx) })
	return s
}

// Reconcile connects to the servers whose home this host has become, and closes those whose home it no longer is.
// As standby it keeps a server until its jobs have ended.
func (g *Group) Reconcile() {
	specs := g.directory.HomeServers()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.tasks == nil || g.ctx.Err() != nil {
		return
	}
	for _, spec := range specs {
		g.ensure(spec)
	}
	for id, s := range g.servers {
		spec, ok := g.directory.Server(id)
		if ok && (spec.Assignment == Home || (spec.Assignment == Standby && s.busy())) {
			continue
		}
		delete(g.servers, id)
		s.close()
	}
}

// busy reports whether jobs are queued or in progress.
func (s *Server) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) > 0 || len(s.running) > 0
}

// Busy reports whether any server has jobs queued or in progress.
func (g *Group) Busy() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		if s.busy() {
			return true
		}
	}
	return false
}
