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
	// reservedConns is the number of connections of each server that are left free for hosts that restart or join.
	reservedConns = 2
	// minLocalConns and minRemoteConns are the numbers of connections kept open to each server of this data centre and
	// of other data centres. A remote server that allows this host fewer than minLocalConns gets none in advance.
	minLocalConns  = 2
	minRemoteConns = 1
	// reconcilePeriod is the time between two calls of Reconcile.
	reconcilePeriod = 500 * time.Millisecond
)

// Observer receives the start and the end of each call, to score the backend servers.
type Observer interface {
	// Started records that a call of a kind was submitted for a server.
	Started(server, kind string)
	// Finished records the result of a call and the time since it was sent, or queued if it was never sent.
	Finished(server, kind string, took time.Duration, result query.Result)
	// Cancelled records that a call was withdrawn after the given time in the queue. hedgeLost is set if another
	// server replied first; a Pool leaves it unset.
	Cancelled(server, kind string, took time.Duration, hedgeLost bool)
}

// Directory lists the backend servers and counts the hosts that connect to them.
type Directory interface {
	// Servers returns all servers that may get calls.
	Servers() []route.Server
	// HostCount returns the number of hosts that share the connections of each server.
	HostCount() int
}

// Pool holds this host's connections to all backend servers, in a serverPool each.
type Pool struct {
	dataCentre string
	dialer     Dialer
	directory  Directory
	observer   Observer
	timer      *timer.Service
	journal    *trace.Journal
	countEvent func(what string)
	notices    notices

	mu    sync.Mutex
	ctx   context.Context
	tasks *errgroup.Group
	pools map[string]*serverPool

	// startMu serialises the start of tasks with stopStarting. It is acquired while a serverPool's mu is held.
	startMu sync.Mutex
	stopped bool
}

// Options are the dependencies and settings of a Pool.
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

// New returns a pool without connections. It opens none, and refuses calls, until Run is called.
func New(options Options) *Pool {
	return &Pool{
		dataCentre: options.DataCentre,
		dialer:     options.Dialer,
		directory:  options.Directory,
		observer:   options.Observer,
		timer:      options.Timer,
		journal:    options.Journal,
		countEvent: options.CountEvent,
		pools:      make(map[string]*serverPool),
	}
}

// Run keeps connections open until ctx ends, then closes them and waits for the tasks of the pool.
func (p *Pool) Run(ctx context.Context) error {
	tasks, ctx := errgroup.WithContext(ctx)
	p.mu.Lock()
	p.ctx, p.tasks = ctx, tasks
	p.mu.Unlock()
	ticks := p.timer.Subscribe(ctx, reconcilePeriod)
	for {
		p.Reconcile()
		select {
		case <-ctx.Done():
			p.stopStarting()
			p.closeAll()
			return tasks.Wait()
		case <-ticks:
		}
	}
}

// Submit sends a call to a server, or queues it until a connection is available. The returned function cancels the call:
// a queued call is withdrawn, a call in progress may still be answered within the grace period. It reports whether the call
// was withdrawn, or was refused because Run is not running.
func (p *Pool) Submit(server route.Server, call *Call) (cancel func(grace time.Duration) (withdrawn bool)) {
	call.incarnation = server.Incarnation
	sp := p.serverPool(server)
	if sp == nil {
		call.OnResult(query.NotExecuted{
			Reason: "host stopped",
		})
		return func(time.Duration) bool { return true }
	}
	sp.Submit(call)
	return func(grace time.Duration) bool { return sp.Cancel(call, grace) }
}

// Reconcile opens the minimum number of connections to each server of the directory, and closes the serverPools of servers
// that are no longer there or whose address changed.
func (p *Pool) Reconcile() {
	servers := p.directory.Servers()
	addressByID := make(map[string]string, len(servers))
	for _, s := range servers {
		addressByID[s.ID] = s.Address
	}
	p.mu.Lock()
	var removed []*serverPool
	for id, sp := range p.pools {
		if addressByID[id] != sp.server.Address {
			removed = append(removed, sp)
			delete(p.pools, id)
		}
	}
	p.mu.Unlock()
	for _, sp := range removed {
		sp.close()
	}
	now := time.Now()
	for _, s := range servers {
		if sp := p.serverPool(s); sp != nil && p.Accepts(s.ID, s.Incarnation, now) {
			sp.EnsureOpen(p.minConns(s), p.keptConns(s))
		}
	}
}

// minConns returns the number of connections to keep open to a server: none to a remote server that allows this host
// only one.
func (p *Pool) minConns(s route.Server) int {
	if s.DataCentre == p.dataCentre {
		return minLocalConns
	}
	if p.maxConns(s) < minLocalConns {
		return 0
	}
	return minRemoteConns
}

// keptConns returns the number of connections that stay open when they are idle. To the remote server that it prefers, a host keeps the
// one that it has opened for a hedge or a retry, if the replicas of the service accept two connections from every host: one from their own
// data centre's hosts, one from others.
func (p *Pool) keptConns(s route.Server) int {
	kept := p.minConns(s)
	if s.Preferred && 2*p.directory.HostCount() <= s.Replicas*(s.MaxConnections-reservedConns) {
		return max(kept, minRemoteConns)
	}
	return kept
}

// maxConns returns this host's equal share, at least 1, of the connections that a server accepts.
func (p *Pool) maxConns(s route.Server) int {
	return max((s.MaxConnections-reservedConns)/max(p.directory.HostCount(), 1), 1)
}

// serverPool returns the pool of a server with an updated maxConns, and creates it if there is none for the server's
// address. It closes the pool of another address. It returns nil while Run is not running.
func (p *Pool) serverPool(s route.Server) *serverPool {
	sp, replaced := p.findOrCreate(s)
	if replaced != nil {
		replaced.close()
	}
	if sp == nil {
		return nil
	}
	maxConns := p.maxConns(s)
	sp.mu.Lock()
	defer sp.mu.Unlock()
	sp.maxConns = maxConns
	return sp
}

// findOrCreate returns the pool for the address of a server, and the pool of another address that it replaces, if any.
// It returns nil while Run is not running.
func (p *Pool) findOrCreate(s route.Server) (sp, replaced *serverPool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tasks == nil || p.ctx.Err() != nil {
		return nil, nil
	}
	known := p.pools[s.ID]
	if known != nil && known.server.Address == s.Address {
		return known, nil
	}
	sp = &serverPool{
		parent: p,
		server: s,
		conns:  make(map[*pooledConn]bool),
	}
	p.pools[s.ID] = sp
	return sp, known
}

// startTask runs a task of a serverPool in a goroutine that Run waits for; it reports false after stopStarting.
func (p *Pool) startTask(task func(ctx context.Context) error) bool {
	p.startMu.Lock()
	defer p.startMu.Unlock()
	if p.stopped {
		return false
	}
	ctx := p.ctx
	p.tasks.Go(func() error { return task(ctx) })
	return true
}

// stopStarting keeps further tasks from starting, so that Run can wait for those that are running.
func (p *Pool) stopStarting() {
	p.startMu.Lock()
	defer p.startMu.Unlock()
	p.stopped = true
}

// closeAll closes and drops all serverPools. Connections in use are closed by the tasks that read from them.
func (p *Pool) closeAll() {
	p.mu.Lock()
	pools := p.pools
	p.pools = make(map[string]*serverPool)
	p.mu.Unlock()
	for _, sp := range pools {
		sp.close()
	}
}
