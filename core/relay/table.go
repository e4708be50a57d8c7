package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliaworks/core/limit"
	"magnoliaworks/core/member"
	"magnoliaworks/core/route"
	"magnoliaworks/core/topo"
)

// table holds the servers that may get work, as candidates for the picker. It is immutable.
type table struct {
	state *topo.State
	all   []route.Server
	// replicas holds the servers by service.
	replicas map[string][]route.Server
}

func newTable(state *topo.State, self string) *table {
	t := &table{
		state:    state,
		replicas: make(map[string][]route.Server),
	}
	plan := state.Config()
	if plan == nil {
		return t
	}
	homes := []member.Member{{ID: self}}
	for _, s := range state.Servers() {
		service, ok := plan.Services[s.Service]
		if !ok || !state.Eligible(s.ID) {
			continue
		}
		candidate := route.Server{
			ID:             s.ID,
			Address:        s.Address,
			DataCentre:     s.DataCentre,
			Service:        s.Service,
			Slots:          s.Slots,
			MaxConnections: service.MaxConnections,
			Homes:          homes,
		}
		t.all = append(t.all, candidate)
		t.replicas[s.Service] = append(t.replicas[s.Service], candidate)
	}
	return t
}

// order returns the seed of this host's order of preference among far servers of a service.
// There is none while each server has a connection to spare for each host.
func (r *Relay) order(t *table, service string) uint64 {
	if t.state.Config().Services[service].MaxConnections > r.parts.Membership.HostCount() {
		return 0
	}
	return xxhash.Sum64String(r.parts.Self)
}

// lacking returns the services without a server in a data centre.
func (t *table) lacking(services []string, dataCentre string) []string {
	var lacking []string
	for _, service := range services {
		if !t.has(service, dataCentre) {
			lacking = append(lacking, service)
		}
	}
	return lacking
}

func (t *table) has(service, dataCentre string) bool {
	for _, s := range t.replicas[service] {
		if s.DataCentre == dataCentre {
			return true
		}
	}
	return false
}

// budget returns the budget for repeated calls to a service.
func (r *Relay) budget(service string) *limit.WindowBudget {
	r.mu.RLock()
	w, ok := r.budgets[service]
	r.mu.RUnlock()
	if ok {
		return w
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if w, ok = r.budgets[service]; !ok {
		w = limit.NewWindowBudget(r.parts.Bounds().RetryWindow)
		r.budgets[service] = w
	}
	return w
}

const (
	// budgetPart is the part of the fleet's budget that hosts use; the rest covers hosts that see different windows.
	budgetPart = 0.85
	// warmupPart is the part of the fleet's bound for a cold server that hosts use.
	warmupPart = 0.8
)

// extra takes one repeated call to a service out of this host's part of the fleet's budget.
func (r *Relay) extra(service string) bool {
	b := r.parts.Bounds()
	hosts := float64(max(r.parts.Membership.HostCount(), 1))
	return r.budget(service).TryExtra(time.Now(), budgetPart*b.RetryShare, budgetPart*b.RetrySlack/hosts)
}

// bears reports whether this host may send a call to a server now; only cold servers have a bound.
func (r *Relay) bears(t *table, id string, now time.Time) bool {
	bound, cold := r.coldBound(t, id, now)
	return !cold || r.rate(id).CanAllow(now, bound)
}

// take counts a call to a server against its bound while it is cold.
func (r *Relay) take(t *table, id string, now time.Time) bool {
	bound, cold := r.coldBound(t, id, now)
	return !cold || r.rate(id).Allow(now, bound)
}

// coldBound returns this host's part of the calls that a cold server bears in a second.
// When the fleet's bound is smaller than the fleet, the hosts ranked first for the server have one call each.
func (r *Relay) coldBound(t *table, id string, now time.Time) (bound int, cold bool) {
	server, ok := t.state.Server(id)
	if !ok || !server.Cold(now) {
		return 0, false
	}
	service := t.state.Config().Services[server.Service]
	if service.WarmupRate <= 0 {
		return 0, false
	}
	b := r.parts.Bounds()
	fleet := int(warmupPart * (service.WarmupRate*b.WarmupFactor + b.WarmupSlack))
	hosts := max(r.parts.Membership.HostCount(), 1)
	if fleet >= hosts {
		return fleet / hosts, true
	}
	if r.parts.Membership.IsTopRanked(id, fleet) {
		return 1, true
	}
	return 0, true
}

func (r *Relay) rate(id string) *limit.Rate {
	r.mu.RLock()
	rate, ok := r.rates[id]
	r.mu.RUnlock()
	if ok {
		return rate
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if rate, ok = r.rates[id]; !ok {
		rate = &limit.Rate{}
		r.rates[id] = rate
	}
	return rate
}

// forget drops what is kept for servers and services that are gone.
func (r *Relay) forget(t *table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.rates {
		if _, ok := t.state.Server(id); !ok {
			delete(r.rates, id)
		}
	}
	plan := t.state.Config()
	if plan == nil {
		return
	}
	for name := range r.budgets {
		if _, ok := plan.Services[name]; !ok {
			delete(r.budgets, name)
		}
	}
}
