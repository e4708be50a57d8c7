// Package relay passes callers' messages on to backend servers as opaque bytes:
// to one server, or to one server of each shard with the parts merged into one answer.
package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"magnoliaworks/core/limit"
	"magnoliaworks/core/member"
	"magnoliaworks/core/pool"
	"magnoliaworks/core/query"
	"magnoliaworks/core/route"
	"magnoliaworks/core/topo"
	"magnoliaworks/core/trace"
)

// Options are what a Relay works with.
type Options struct {
	State      *topo.Current
	Picker     *route.Picker
	Pool       *pool.Pool
	Membership Membership
	Journal    *trace.Journal
	Meter      Meter
	// Bounds returns the fleet-wide bounds in force.
	Bounds func() Bounds
	// Peers gather for this host; they are nil on a host that is alone.
	Peers Peers
	// DataCentre is the data centre of this host and Self its ID.
	DataCentre string
	Self       string
}

// Membership tells how many hosts share the fleet's bounds.
type Membership interface {
	// HostCount returns the number of hosts, this one included.
	HostCount() int
	// Available returns the hosts that take work.
	Available() []member.Member
	// IsTopRanked reports whether this host is among the n hosts ranked first for a key.
	IsTopRanked(key string, n int) bool
}

// Meter counts what the relay does.
type Meter interface {
	// CountMessage counts an ended message by the kind of its target and its outcome, with its time.
	CountMessage(target, outcome string, took time.Duration)
	// CountCall counts a call that was sent to a backend server, by reason and by whether it crossed data centres.
	CountCall(reason string, crossed bool)
	// CountEvent counts an event by name.
	CountEvent(name string)
}

// Bounds are the fleet-wide bounds that all hosts keep together.
type Bounds struct {
	// RetryShare and RetrySlack bound the repeated calls to a service within RetryWindow:
	// a share of the messages for it, plus a fixed number.
	RetryShare  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// WarmupFactor and WarmupSlack widen the rate that a cold server bears.
	WarmupFactor float64
	WarmupSlack  float64
}

// Caller is the connection that a message came from.
type Caller interface {
	// Gone returns a channel that is closed when the caller has left. It starts to watch at the first call.
	Gone() <-chan struct{}
}

// Relay runs messages. It is safe for concurrent use.
type Relay struct {
	parts Options
	table atomic.Pointer[table]
	// helpers are the hosts that gather for this one.
	helpers *helpers
	inside  atomic.Int64
	// ended counts good messages; kept bounds those that are logged.
	ended   atomic.Uint64
	kept    limit.Rate
	mu      sync.RWMutex
	budgets map[string]*limit.WindowBudget
	rates   map[string]*limit.Rate
	turns   map[string]*atomic.Uint64
}

// New returns a relay that works with the parts.
func New(parts Options) *Relay {
	r := &Relay{
		parts:   parts,
		helpers: newHelpers(parts.Self),
		budgets: make(map[string]*limit.WindowBudget),
		rates:   make(map[string]*limit.Rate),
		turns:   make(map[string]*atomic.Uint64),
	}
	r.table.Store(newTable(parts.State.Load(), parts.Self))
	return r
}

// Run follows changes of the state until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	for {
		changed := r.parts.State.Changed()
		r.Refresh()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// Refresh derives the table of servers anew from the state in force.
func (r *Relay) Refresh() {
	t := newTable(r.parts.State.Load(), r.parts.Self)
	r.table.Store(t)
	r.parts.Picker.Retain(func(id string) bool {
		_, ok := t.state.Server(id)
		return ok
	})
	r.forget(t)
	r.parts.Pool.Reconcile()
}

// Servers implements pool.Directory.
func (r *Relay) Servers() []route.Server { return r.table.Load().all }

// HostCount implements pool.Directory.
func (r *Relay) HostCount() int { return r.parts.Membership.HostCount() }

// Busy reports whether messages are in progress.
func (r *Relay) Busy() bool { return r.inside.Load() > 0 }

// Handle runs a message and returns its answer, or a query.Refusal.
func (r *Relay) Handle(caller Caller, m *query.Message) (Answer, error) {
	r.inside.Add(1)
	defer r.inside.Add(-1)
	plan := r.table.Load().state.Config()
	if plan == nil {
		return nil, query.NotRun{
			Reason:     "no configuration received yet",
			RetryAfter: unreadyRetry,
		}
	}
	matched, ok := plan.Match(m.Host, m.Path)
	if !ok {
		return nil, query.Invalid{
			Field:  "path",
			Reason: "no route of host " + m.Host + " begins the path",
		}
	}
	f := r.newFlight(caller, m, matched, r.services(matched))
	f.version = plan.Version
	answer, err := f.fly()
	r.keep(f, err)
	return answer, err
}

// services returns the services that a message of the route goes to.
func (r *Relay) services(matched *topo.Route) []string {
	switch t := matched.Target.(type) {
	case topo.SingleService:
		return []string{t.Service}
	case topo.TrafficSplit:
		return []string{t.ServiceAt(r.turn(matched.Name))}
	case topo.ShardSet:
		return t.Services
	default:
		return nil
	}
}

// goldenRatio spreads successive multiples evenly over the unit interval, so that shares hold over short spans too.
const goldenRatio = 0.6180339887498949

// turn returns the next position between 0 and 1 for a route's split.
func (r *Relay) turn(name string) float64 {
	r.mu.RLock()
	turns, ok := r.turns[name]
	r.mu.RUnlock()
	if !ok {
		r.mu.Lock()
		if turns, ok = r.turns[name]; !ok {
			turns = new(atomic.Uint64)
			r.turns[name] = turns
		}
		r.mu.Unlock()
	}
	position := float64(turns.Add(1)) * goldenRatio
	return position - float64(int64(position))
}
