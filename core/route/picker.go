package route

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliaworks/core/limit"
	"magnoliaworks/core/trace"
)

const (
	// minRemoteGain is the part of the near estimate that a far server must save to be chosen for speed.
	minRemoteGain = 0.5
	// minRemoteSaving is the least time that a far server must save.
	minRemoteSaving = 15 * time.Millisecond
	// preferredFactor is the multiple of the best estimate up to which a preferred far server is taken.
	preferredFactor = 2
	// mirrorFactor is the multiple of the fastest near estimate from which a server counts as passed over for slowness.
	mirrorFactor = 3
)

// Policy tells how replicas are chosen.
type Policy string

// The policies.
const (
	// PolicyFull uses nearness, observed times, ejection, hedges and retries.
	PolicyFull Policy = "full"
	// PolicyNaive takes any replica at random and sends nothing twice; it serves as the measure for PolicyFull.
	PolicyNaive Policy = "naive"
)

// Picker chooses backend servers by what this host has observed. It is safe for concurrent use.
type Picker struct {
	policy      Policy
	dataCentre  string
	crossBudget *limit.Budget
	journal     *trace.Journal

	mu    sync.RWMutex
	stats map[string]*serverStats
	// medians holds the usual time of each kind of request.
	medians map[string]*limit.Quantile
}

// NewPicker returns a picker for a host in the given data centre. cross bounds choices of far servers for speed.
func NewPicker(policy Policy, dataCentre string, crossBudget *limit.Budget, journal *trace.Journal) *Picker {
	return &Picker{
		policy:      policy,
		dataCentre:  dataCentre,
		crossBudget: crossBudget,
		journal:     journal,
		stats:       make(map[string]*serverStats),
		medians:     make(map[string]*limit.Quantile),
	}
}

// Candidates are the servers that may answer for one shard.
type Candidates struct {
	// Kind names the kind of request, whose times are compared.
	Kind    string
	Servers []Server
	// Tried names servers that have been sent the sub-request already.
	Tried []string
	// PreferenceSeed is the seed of this host's own order of preference among far servers; 0 means none.
	// With it, each server has few connections from hosts of other data centres.
	PreferenceSeed uint64
	// Eligible reports whether a server may hold the wanted snapshot.
	Eligible func(server string) bool
}

// Pick returns the server to send a sub-request to; ok is false when none is left.
func (p *Picker) Pick(c Candidates) (s Server, ok bool) {
	usable := c.usable()
	if len(usable) == 0 {
		return Server{}, false
	}
	if p.policy == PolicyNaive {
		return usable[rand.IntN(len(usable))], true
	}
	now := time.Now()
	local, remote := p.splitByDataCentre(usable, now)
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

// PickMirror returns a server that has been passed over for its slowness long enough to be tried beside chosen.
func (p *Picker) PickMirror(c Candidates, chosen string) (s Server, ok bool) {
	now := time.Now()
	best := time.Duration(0)
	for _, candidate := range c.Servers {
		if candidate.ID == chosen {
			best = p.estimate(candidate, c.Kind, now)
		}
	}
	if p.policy == PolicyNaive || best == 0 {
		return Server{}, false
	}
	for _, candidate := range c.usable() {
		if candidate.DataCentre != p.dataCentre || candidate.ID == chosen {
			continue
		}
		if p.estimate(candidate, c.Kind, now) > mirrorFactor*best && p.statsOf(candidate.ID).mirrorDue(now) {
			return candidate, true
		}
	}
	return Server{}, false
}

func (p *Picker) localOrRemote(local, remote Server, kind string, now time.Time) Server {
	localTime, remoteTime := p.estimate(local, kind, now), p.estimateOrMedian(remote, kind, now)
	saved := localTime - remoteTime
	if saved < minRemoteSaving || saved < time.Duration(minRemoteGain*float64(localTime)) {
		return local
	}
	if !p.crossBudget.Spend() {
		return local
	}
	return remote
}

// splitByDataCentre separates the servers that are not passed over by data centre.
func (p *Picker) splitByDataCentre(usable []Server, now time.Time) (local, remote []Server) {
	for _, s := range usable {
		if p.statsOf(s.ID).avoided(now) {
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

// bestRemote returns the far server that this host prefers, unless another one is expected to reply much sooner.
func (p *Picker) bestRemote(remote []Server, c Candidates, now time.Time) Server {
	best := p.betterOfTwo(remote, c.Kind, now)
	if c.PreferenceSeed == 0 {
		return best
	}
	preferred := remote[0]
	for _, s := range remote[1:] {
		if preferenceRank(c.PreferenceSeed, s.ID) < preferenceRank(c.PreferenceSeed, preferred.ID) {
			preferred = s
		}
	}
	if p.estimateOrMedian(preferred, c.Kind, now) > preferredFactor*p.estimateOrMedian(best, c.Kind, now)+minRemoteSaving {
		return best
	}
	return preferred
}

// preferenceRank orders servers differently for each seed.
func preferenceRank(preferenceSeed uint64, server string) uint64 {
	return (xxhash.Sum64String(server) ^ preferenceSeed) * 0x9e3779b97f4a7c15
}

// betterOfTwo returns the one of two random servers that is expected to reply first.
func (p *Picker) betterOfTwo(servers []Server, kind string, now time.Time) Server {
	if len(servers) == 1 {
		return servers[0]
	}
	i := rand.IntN(len(servers))
	j := rand.IntN(len(servers) - 1)
	if j >= i {
		j++
	}
	if p.estimate(servers[j], kind, now) < p.estimate(servers[i], kind, now) {
		return servers[j]
	}
	return servers[i]
}

// ExpectedLatency returns the time in which a server is expected to reply to a kind; 0 while nothing is known of it.
func (p *Picker) ExpectedLatency(s Server, kind string) time.Duration {
	return p.estimate(s, kind, time.Now())
}

func (p *Picker) estimate(s Server, kind string, now time.Time) time.Duration {
	return p.statsOf(s.ID).estimate(p.MedianLatency(kind), s.Slots, now)
}

// estimateOrMedian returns the expected time to a reply, where a server that is not known counts as an ordinary one.
// Otherwise a slow near server would be used until another one is known, and an unknown far one in place of the preferred.
func (p *Picker) estimateOrMedian(s Server, kind string, now time.Time) time.Duration {
	if estimate := p.estimate(s, kind, now); estimate > 0 {
		return estimate
	}
	return p.MedianLatency(kind)
}

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

// Retain forgets every server for which wanted returns false.
func (p *Picker) Retain(wanted func(server string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.stats {
		if !wanted(id) {
			delete(p.stats, id)
		}
	}
}

// usable returns the servers that were not tried, hold the snapshot and have a live home.
func (c Candidates) usable() []Server {
	usable := make([]Server, 0, len(c.Servers))
	for _, s := range c.Servers {
		if len(s.Homes) == 0 || contains(c.Tried, s.ID) || !c.Eligible(s.ID) {
			continue
		}
		usable = append(usable, s)
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
