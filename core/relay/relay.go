// Package relay forwards callers' messages, which are HTTP requests, to backend servers as opaque bytes:
// to one server, or to one server of each shard with the replies merged into one answer.
package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"magnoliaworks/core/fair"
	"magnoliaworks/core/limit"
	"magnoliaworks/core/member"
	"magnoliaworks/core/pool"
	"magnoliaworks/core/query"
	"magnoliaworks/core/route"
	"magnoliaworks/core/shed"
	"magnoliaworks/core/topo"
	"magnoliaworks/core/trace"
)

// Options are the dependencies and settings of a Relay.
type Options struct {
	State      *topo.Current
	Picker     *route.Picker
	Pool       *pool.Pool
	Membership Membership
	Journal    *trace.Journal
	Meter      Meter
	// Bounds returns the current fleet-wide bounds.
	Bounds func() Bounds
	// Peers gather replies for this host; nil on a host without peers.
	Peers Peers
	// Allowances bound the requests of client accounts; nil if there are no allowances.
	Allowances Allowances
	// DataCentre is the data centre of this host and Self its ID.
	DataCentre string
	Self       string
}

// Membership reports which hosts share the fleet's bounds.
type Membership interface {
	// HostCount returns the number of hosts that share the bounds, this one included.
	HostCount() int
	// Available returns the hosts that accept new work.
	Available() []member.Member
	// IsTopRanked reports whether this host is among the n hosts that rank first for a key by rendezvous hashing.
	IsTopRanked(key string, n int) bool
}

// Meter records the metrics of a relay.
type Meter interface {
	// CountMessage counts an ended message by the kind of its target and its outcome, and observes its duration.
	CountMessage(target, outcome string, took time.Duration)
	// CountCall counts a call that was sent to a backend server, or a delegation to a peer host, by reason and by whether
	// it crossed data centres.
	CountCall(reason string, crossed bool)
	// CountEvent counts an event by name.
	CountEvent(name string)
}

// Bounds are the fleet-wide limits that all hosts together stay within.
type Bounds struct {
	// RetryShare and RetrySlack bound the retries, hedges and mirrored calls to a service within RetryWindow:
	// to a share of the messages for the service, plus a fixed number.
	RetryShare  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// WarmupFactor and WarmupSlack widen the warm-up rate of a service: a cold server may get WarmupFactor times that rate
	// plus WarmupSlack, in calls per second.
	WarmupFactor float64
	WarmupSlack  float64
}

// Caller is the connection that a message came from.
type Caller interface {
	// Disconnected returns a channel that is closed when the caller disconnects. The connection is watched from the first call on.
	Disconnected() <-chan struct{}
}

// Relay forwards messages. It is safe for concurrent use.
type Relay struct {
	options Options
	table   atomic.Pointer[table]
	// delegates chooses the hosts that gather for this one.
	delegates  *delegates
	inProgress atomic.Int64
	started    time.Time
	losses     shed.Losses
	// succeeded counts the messages answered completely and in time; logRate bounds the messages that are logged, and the others
	// those for which no route was found, without the key of a client account, and beyond the allowance of one.
	succeeded         atomic.Uint64
	logRate           limit.Rate
	unmatchedRate     limit.Rate
	unauthorizedRate  limit.Rate
	overAllowanceRate limit.Rate
	mu                sync.RWMutex
	retryBudgets      map[string]*limit.WindowBudget
	warmupRates       map[string]*limit.Rate
	splitCounters     map[string]*atomic.Uint64
	// admissions holds the admission of each route to a shard set, by the name of the route.
	admissions map[string]*shed.Admission
	// fairShares divides the searches of each route that are started among client accounts, by the name of the route.
	fairShares map[string]*fair.Shares
}

// New returns a relay with the options.
func New(options Options) *Relay {
	r := &Relay{
		options:       options,
		delegates:     newDelegates(options.Self),
		started:       time.Now(),
		retryBudgets:  make(map[string]*limit.WindowBudget),
		warmupRates:   make(map[string]*limit.Rate),
		splitCounters: make(map[string]*atomic.Uint64),
		admissions:    make(map[string]*shed.Admission),
		fairShares:    make(map[string]*fair.Shares),
	}
	t := newTable(options.State.Load(), options.Self)
	t.configSince = r.started
	r.table.Store(t)
	return r
}

// Run applies changes of the state until ctx ends; it returns nil.
func (r *Relay) Run(ctx context.Context) error {
	for {
		changed := r.options.State.Changed()
		r.Refresh()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// Refresh rebuilds the table of servers from the current state and drops what is kept for servers that are gone.
func (r *Relay) Refresh() {
	t := newTable(r.options.State.Load(), r.options.Self)
	t.dateConfig(r.table.Load(), time.Now())
	r.table.Store(t)
	r.options.Picker.Retain(func(id string) bool {
		_, ok := t.state.Server(id)
		return ok
	})
	r.prune(t)
	r.options.Pool.Reconcile()
}

// Servers implements pool.Directory.
func (r *Relay) Servers() []route.Server { return r.table.Load().servers }

// HostCount implements pool.Directory.
func (r *Relay) HostCount() int { return r.options.Membership.HostCount() }

// Busy reports whether messages are in progress.
func (r *Relay) Busy() bool { return r.inProgress.Load() > 0 }

// Handle executes a message and returns its answer. The error is a query.Refusal. A panic ends this message alone, whose
// outcome is unknown then.
func (r *Relay) Handle(caller Caller, m *query.Message) (answer Answer, err error) {
	r.inProgress.Add(1)
	defer r.inProgress.Add(-1)
	defer func() {
		if recovered := recover(); recovered != nil {
			r.options.Meter.CountEvent("panic")
			r.options.Journal.RecordPanic("relay", m.ID, recovered)
			answer, err = nil, query.OutcomeUnknown{
				Reason: "internal error",
			}
		}
	}()
	t := r.table.Load()
	config := t.state.Config()
	if config == nil {
		err := query.NotRun{
			Reason:     "no configuration received yet",
			RetryAfter: shed.StartRetryAfter(time.Since(r.started), rand.Float64()),
		}
		r.recordUnmatched(m, 0, err)
		return nil, err
	}
	matched, ok := config.Match(m.Host, m.Path)
	if !ok {
		err := query.Invalid{
			Field:  "path",
			Reason: "no route of host " + m.Host + " matches the path",
		}
		r.recordUnmatched(m, config.Version, err)
		return nil, err
	}
	account, err := r.authorize(config, matched, m)
	if err != nil {
		r.recordUnauthorized(m, t, matched, err)
		return nil, err
	}
	if err := r.takeAllowance(account, m); err != nil {
		r.recordOverAllowance(m, t, matched, account, err)
		return nil, err
	}
	ranked := withPriority(matched, account)
	e := r.newExecution(caller, m, ranked, r.services(matched))
	e.configVersion = config.Version
	e.claim, e.routePriority = newClaim(config, account, ranked), matched.Priority
	answer, err = e.run()
	r.returnAllowance(account, err)
	r.record(e, err)
	return answer, err
}

// withPriority returns the route with the priority of the account, if it has one.
func withPriority(matched *topo.Route, account topo.Account) *topo.Route {
	if !account.HasPriority {
		return matched
	}
	ranked := *matched
	ranked.Priority = account.Priority
	return &ranked
}

// services returns the services that a message of the route is sent to.
func (r *Relay) services(matched *topo.Route) []string {
	switch t := matched.Target.(type) {
	case topo.SingleService:
		return []string{t.Service}
	case topo.TrafficSplit:
		return []string{t.ServiceAt(r.splitPosition(matched.Name))}
	case topo.ShardSet:
		return t.Services
	default:
		return nil
	}
}

// goldenRatio spreads its successive multiples, modulo 1, evenly over the unit interval,
// so that the weights of a split hold over short spans too.
const goldenRatio = 0.6180339887498949

// splitPosition returns the next position in [0, 1) for the traffic split of a route.
func (r *Relay) splitPosition(name string) float64 {
	r.mu.RLock()
	counter, ok := r.splitCounters[name]
	r.mu.RUnlock()
	if !ok {
		r.mu.Lock()
		if counter, ok = r.splitCounters[name]; !ok {
			counter = new(atomic.Uint64)
			r.splitCounters[name] = counter
		}
		r.mu.Unlock()
	}
	position := float64(counter.Add(1)) * goldenRatio
	return position - float64(int64(position))
}
