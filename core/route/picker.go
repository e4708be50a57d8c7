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
	// farGain is the part of the near estimate that a far server must save to be chosen for speed.
	farGain = 0.5
	// farMinimum is the least time that a far server must save.
	farMinimum = 15 * time.Millisecond
	// preferFactor is the multiple of the best estimate up to which a preferred far server is taken.
	preferFactor = 2
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
	policy     Policy
	dataCentre string
	cross      *limit.Budget
	journal    *trace.Journal

	mu     sync.RWMutex
	scores map[string]*score
	// kinds holds the usual time of each kind of request.
	kinds map[string]*limit.Quantile
}

// NewPicker returns a picker for a host in the given data centre. cross bounds choices of far servers for speed.
func NewPicker(policy Policy, dataCentre string, cross *limit.Budget, journal *trace.Journal) *Picker {
	return &Picker{
		policy:     policy,
		dataCentre: dataCentre,
		cross:      cross,
		journal:    journal,
		scores:     make(map[string]*score),
		kinds:      make(map[string]*limit.Quantile),
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
	near, far := p.split(usable, now)
	switch {
	case len(near) == 0 && len(far) == 0:
		return usable[rand.IntN(len(usable))], true
	case len(near) == 0:
		return p.bestFar(far, c, now), true
	case len(far) == 0:
		return p.better(near, c.Kind, now), true
	}
	return p.nearOrFar(p.better(near, c.Kind, now), p.bestFar(far, c, now), c.Kind, now), true
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
		if p.estimate(candidate, c.Kind, now) > mirrorFactor*best && p.score(candidate.ID).trialDue(now) {
			return candidate, true
		}
	}
	return Server{}, false
}

func (p *Picker) nearOrFar(near, far Server, kind string, now time.Time) Server {
	nearTime, farTime := p.estimate(near, kind, now), p.presumed(far, kind, now)
	saved := nearTime - farTime
	if saved < farMinimum || saved < time.Duration(farGain*float64(nearTime)) {
		return near
	}
	if !p.cross.Spend() {
		return near
	}
	return far
}

// split separates the servers that are not passed over by data centre.
func (p *Picker) split(usable []Server, now time.Time) (near, far []Server) {
	for _, s := range usable {
		if p.score(s.ID).passedOver(now) {
			continue
		}
		if s.DataCentre == p.dataCentre {
			near = append(near, s)
		} else {
			far = append(far, s)
		}
	}
	return near, far
}

// bestFar returns the far server that this host prefers, unless another one is expected to reply much sooner.
func (p *Picker) bestFar(far []Server, c Candidates, now time.Time) Server {
	best := p.better(far, c.Kind, now)
	if c.PreferenceSeed == 0 {
		return best
	}
	preferred := far[0]
	for _, s := range far[1:] {
		if preference(c.PreferenceSeed, s.ID) < preference(c.PreferenceSeed, preferred.ID) {
			preferred = s
		}
	}
	if p.presumed(preferred, c.Kind, now) > preferFactor*p.presumed(best, c.Kind, now)+farMinimum {
		return best
	}
	return preferred
}

// preference orders servers differently for each seed.
func preference(seed uint64, server string) uint64 {
	return (xxhash.Sum64String(server) ^ seed) * 0x9e3779b97f4a7c15
}

// better returns the one of two random servers that is expected to reply first.
func (p *Picker) better(servers []Server, kind string, now time.Time) Server {
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
	return p.score(s.ID).estimate(p.MedianLatency(kind), s.Slots, now)
}

// presumed returns the expected time to a reply, where a server that is not known counts as an ordinary one.
// Otherwise a slow near server would be used until another one is known, and an unknown far one in place of the preferred.
func (p *Picker) presumed(s Server, kind string, now time.Time) time.Duration {
	if estimate := p.estimate(s, kind, now); estimate > 0 {
		return estimate
	}
	return p.MedianLatency(kind)
}

func (p *Picker) score(id string) *score {
	p.mu.RLock()
	s, ok := p.scores[id]
	p.mu.RUnlock()
	if ok {
		return s
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.scores[id]; ok {
		return s
	}
	s = &score{}
	p.scores[id] = s
	return s
}

// Retain forgets every server for which wanted returns false.
func (p *Picker) Retain(wanted func(server string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.scores {
		if !wanted(id) {
			delete(p.scores, id)
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
