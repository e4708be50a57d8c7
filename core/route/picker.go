package route

import (
	"math/rand/v2"
	"sync"
	"time"

	"magnoliaworks/core/limit"
	"magnoliaworks/core/spill"
	"magnoliaworks/core/trace"
)

// Local servers are those in the data centre of this host, remote servers those in other data centres.
const (
	// minRemoteSavingShare is the share of the local estimate that a remote server must save to be chosen for speed.
	minRemoteSavingShare = 0.5
	// minRemoteSaving is the least time that a remote server must save.
	minRemoteSaving = 15 * time.Millisecond
	// preferredFactor is the multiple of the best remote estimate, plus minRemoteSaving, up to which the preferred
	// remote server is chosen.
	preferredFactor = 2
	// usualReplicas is the number of replicas up to which a choice needs no memory from the heap.
	usualReplicas = 4
	// mirrorFactor is the multiple of the chosen server's estimate above which another local server may get a mirror.
	mirrorFactor = 3
)

// Policy is the policy by which replicas are chosen.
type Policy string

// The policies.
const (
	// PolicyFull chooses by data centre, observed latency and ejection; mirrors, hedges and retries are sent.
	PolicyFull Policy = "full"
	// PolicyNaive chooses a random replica and sends no mirrors, and no hedges in core/gather; PolicyFull is compared with it.
	PolicyNaive Policy = "naive"
)

// Picker chooses backend servers by the latencies and failures that this host has observed. It is safe for concurrent use.
type Picker struct {
	policy      Policy
	dataCentre  string
	crossBudget *limit.Budget
	journal     *trace.Journal

	mu    sync.RWMutex
	stats map[string]*serverStats
	// medians holds the median latency of each kind of request.
	medians map[string]*limit.Quantile
	// leaving decides what leaves the data centre for servers that state their slowdown; nil if none does.
	leaving *leaving
}

// Option is an option of a Picker.
type Option func(*Picker)

// WithSpill has calls leave the data centre by the terms if the local server states its slowdown. Otherwise, and
// without this option, a remote server is chosen whenever it saves enough time. countEvent counts events by name.
func WithSpill(terms spill.Terms, countEvent func(name string)) Option {
	return func(p *Picker) {
		p.leaving = newLeaving(terms, countEvent)
	}
}

// NewPicker returns a picker for a host in the given data centre.
// crossBudget bounds the choices of a remote server because it is faster than a local one.
func NewPicker(policy Policy, dataCentre string, crossBudget *limit.Budget, journal *trace.Journal, options ...Option) *Picker {
	p := &Picker{
		policy:      policy,
		dataCentre:  dataCentre,
		crossBudget: crossBudget,
		journal:     journal,
		stats:       make(map[string]*serverStats),
		medians:     make(map[string]*limit.Quantile),
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// Candidates are the replicas of one shard, with what restricts the choice among them.
type Candidates struct {
	// Kind is the kind of request; latencies are compared within a kind.
	Kind string
	// Servers are the replicas of the shard that are in service.
	Servers []Server
	// Tried holds the IDs of the servers that were already called for this shard, and Refusing those of them that refused the call
	// although they had slots free. Once all servers have been tried, these are asked again.
	Tried    []string
	Refusing []string
	// PreferenceSeed is the seed of this host's order of preference among remote servers; 0 means no order.
	// With a different order on each host, each server has connections from few hosts of other data centres.
	PreferenceSeed uint64
	// Eligible reports whether a call to a server is permitted now.
	Eligible func(server string) bool
}

// Pick returns the server for the next call; ok is false when there is none left.
// If all usable servers are to be avoided, it returns a random one of them.
func (p *Picker) Pick(c Candidates) (s Server, ok bool) {
	var buffers [3][usualReplicas]Server
	usable := c.usable(buffers[0][:0])
	if len(usable) == 0 {
		return Server{}, false
	}
	if p.policy == PolicyNaive {
		return usable[rand.IntN(len(usable))], true
	}
	now := time.Now()
	local, remote := p.splitByDataCentre(usable, buffers[1][:0], buffers[2][:0], now)
	switch {
	case len(local) == 0 && len(remote) == 0:
		return usable[rand.IntN(len(usable))], true
	case len(local) == 0:
		return p.bestRemote(remote, c, now), true
	case len(remote) == 0:
		return p.betterOfTwo(local, c.Kind, now), true
	}
	return p.localOrRemote(p.betterOfTwo(local, c.Kind, now), p.bestRemote(remote, c, now), c.Kind, now), true
}

// PickMirror returns a local server that is much slower than chosen and has got no call for mirrorPeriod; ok is false
// when there is none. A mirror, a copy of the call that goes to chosen, shows whether the slow server is fast again.
func (p *Picker) PickMirror(c Candidates, chosen string) (s Server, ok bool) {
	now := time.Now()
	chosenTime := time.Duration(0)
	for _, candidate := range c.Servers {
		if candidate.ID == chosen {
			chosenTime = p.estimate(candidate, c.Kind, now)
		}
	}
	if p.policy == PolicyNaive || chosenTime == 0 {
		return Server{}, false
	}
	var buffer [usualReplicas]Server
	for _, candidate := range c.usable(buffer[:0]) {
		if candidate.DataCentre != p.dataCentre || candidate.ID == chosen {
			continue
		}
		if p.estimate(candidate, c.Kind, now) > mirrorFactor*chosenTime && p.statsOf(candidate.ID).mirrorDue(now) {
			return candidate, true
		}
	}
	return Server{}, false
}

// localOrRemote returns the remote server if it saves enough time and crossBudget permits it, and else the local one.
func (p *Picker) localOrRemote(local, remote Server, kind string, now time.Time) Server {
	localTime, remoteTime := p.estimate(local, kind, now), p.estimateOrMedian(remote, kind, now)
	if p.leaving != nil && p.statsOf(local.ID).statesSlowdown() {
		if p.leaves(local, remote, kind, localTime, remoteTime, now) {
			return remote
		}
		return local
	}
	saved := localTime - remoteTime
	if saved < minRemoteSaving || saved < time.Duration(minRemoteSavingShare*float64(localTime)) {
		return local
	}
	if !p.crossBudget.Spend() {
		return local
	}
	return remote
}

// splitByDataCentre appends the servers to the local and the remote ones, without those that are to be avoided.
func (p *Picker) splitByDataCentre(usable, local, remote []Server, now time.Time) (localServers, remoteServers []Server) {
	for _, s := range usable {
		stats := p.statsOf(s.ID)
		stats.locate(s.DataCentre)
		if stats.avoided(now) {
			continue
		}
		if s.DataCentre == p.dataCentre {
			local = append(local, s)
		} else {
			remote = append(remote, s)
		}
	}
	return local, remote
}

// bestRemote returns the remote server that this host prefers, unless another one is expected to reply much sooner.
func (p *Picker) bestRemote(remote []Server, c Candidates, now time.Time) Server {
	best := p.betterOfTwo(remote, c.Kind, now)
	if c.PreferenceSeed == 0 {
		return best
	}
	preferred := remote[preferredIndex(c.PreferenceSeed, remote)]
	if p.estimateOrMedian(preferred, c.Kind, now) > preferredFactor*p.estimateOrMedian(best, c.Kind, now)+minRemoteSaving {
		return best
	}
	return preferred
}

// betterOfTwo returns the one of two random servers that is expected to reply first (power of two choices). Of servers that differ
// by no more than noise does, it returns the one with the shorter queue, or either.
func (p *Picker) betterOfTwo(servers []Server, kind string, now time.Time) Server {
	if len(servers) == 1 {
		return servers[0]
	}
	i := rand.IntN(len(servers))
	j := rand.IntN(len(servers) - 1)
	if j >= i {
		j++
	}
	median := p.MedianLatency(kind)
	first := p.statsOf(servers[i].ID).prospect(median, servers[i].Slots, now)
	second := p.statsOf(servers[j].ID).prospect(median, servers[j].Slots, now)
	if second.before(first) {
		return servers[j]
	}
	return servers[i]
}

// ExpectedLatency returns the expected time to a server's reply to a kind of request, or 0 if nothing is known of the server.
func (p *Picker) ExpectedLatency(s Server, kind string) time.Duration {
	return p.estimate(s, kind, time.Now())
}

func (p *Picker) estimate(s Server, kind string, now time.Time) time.Duration {
	return p.statsOf(s.ID).estimate(p.MedianLatency(kind), s.Slots, now)
}

// estimateOrMedian returns the expected time to a reply; for a server that is not known, that is the median of the kind.
// If unknown remote servers were left out, a slow local server would stay in use until a remote one is known;
// if they counted as the fastest, they would displace the preferred one.
func (p *Picker) estimateOrMedian(s Server, kind string, now time.Time) time.Duration {
	if estimate := p.estimate(s, kind, now); estimate > 0 {
		return estimate
	}
	return p.MedianLatency(kind)
}

// statsOf returns the statistics of a server, and creates them for a new server.
func (p *Picker) statsOf(id string) *serverStats {
	p.mu.RLock()
	s, ok := p.stats[id]
	p.mu.RUnlock()
	if ok {
		return s
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.stats[id]; ok {
		return s
	}
	s = &serverStats{}
	p.stats[id] = s
	return s
}

// Retain deletes the statistics of every server for which wanted returns false.
func (p *Picker) Retain(wanted func(server string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.stats {
		if !wanted(id) {
			delete(p.stats, id)
		}
	}
}

// usable appends to an empty list the servers that are eligible, have an available home and were not tried, or else those that refused
// by chance.
func (c Candidates) usable(usable []Server) []Server {
	for _, s := range c.Servers {
		if len(s.Homes) == 0 || contains(c.Tried, s.ID) || !c.Eligible(s.ID) {
			continue
		}
		usable = append(usable, s)
	}
	if len(usable) > 0 {
		return usable
	}
	for _, s := range c.Servers {
		if contains(c.Refusing, s.ID) && c.Eligible(s.ID) {
			usable = append(usable, s)
		}
	}
	return usable
}

func contains(list []string, s string) bool {
	for _, item := range list {
		if item == s {
			return true
		}
	}
	return false
}
