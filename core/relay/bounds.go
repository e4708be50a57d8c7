package relay

import (
	"time"

	"magnoliaworks/core/limit"
	"magnoliaworks/core/shed"
)

// retryState is what bounds the repeated calls to a service.
type retryState struct {
	// budget is that for retries, hedges and mirrored calls.
	budget *limit.WindowBudget
	// refusals is the share of its calls that its servers refuse.
	refusals shed.Refusals
}

// retryState returns the state of the repeated calls to a service.
func (r *Relay) retryState(service string) *retryState {
	r.mu.RLock()
	state, ok := r.retryStates[service]
	r.mu.RUnlock()
	if ok {
		return state
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if state, ok = r.retryStates[service]; !ok {
		state = &retryState{
			budget: limit.NewWindowBudget(r.options.Bounds().RetryWindow),
		}
		r.retryStates[service] = state
	}
	return state
}

const (
	// usableRetryBudget is the part of the fleet's retry budget that the hosts use; the rest covers hosts that see different windows.
	usableRetryBudget = 0.85
	// usableWarmupRate is the part of the fleet's limit for a cold server that the hosts use.
	usableWarmupRate = 0.8
)

// spendRetryBudget charges one retry to this host's share of the fleet's budget for a service. It reports whether the budget
// permits the call.
func (r *Relay) spendRetryBudget(service string) bool { return r.spendBudget(service, 1) }

// spendHedgeBudget charges one hedge or mirrored call, which may use a part of that budget only while servers lose replies.
func (r *Relay) spendHedgeBudget(service string) bool {
	return r.spendBudget(service, r.losses.HedgePart(time.Now()))
}

// spendBudget charges one call if the calls charged so far are below a part of this host's budget for a service.
func (r *Relay) spendBudget(service string, part float64) bool {
	share, slack := r.retryBounds(part)
	return r.retryState(service).budget.TryExtra(time.Now(), share, slack)
}

// retryBounds returns the share of the messages for a service, and the number beyond it, that a part of this host's budget permits.
func (r *Relay) retryBounds(part float64) (share, slack float64) {
	b := r.options.Bounds()
	hosts := float64(max(r.options.Membership.HostCount(), 1))
	part *= usableRetryBudget
	return part * b.RetryShare, part * b.RetrySlack / hosts
}

// canAdmit reports whether this host may send a call to a server now: the server has not asked for none, and its limit, which
// only cold servers have, is not reached.
func (r *Relay) canAdmit(t *table, id string, now time.Time) bool {
	if !r.accepts(t, id, now) {
		return false
	}
	perSecond, cold := r.warmupLimit(t, id, now)
	return !cold || r.warmupRate(id).CanAllow(now, perSecond)
}

// accepts reports whether a server has not asked this host to send it no more calls.
func (r *Relay) accepts(t *table, id string, now time.Time) bool {
	server, ok := t.state.Server(id)
	return ok && r.options.Pool.Accepts(id, server.Incarnation, now)
}

// admit reports whether this host may send a call to a server now, and counts the call while the server is cold.
func (r *Relay) admit(t *table, id string, now time.Time) bool {
	perSecond, cold := r.warmupLimit(t, id, now)
	return !cold || r.warmupRate(id).Allow(now, perSecond)
}

// warmupLimit returns this host's share of the calls per second that a cold server may get.
// If the fleet's limit is below the number of hosts, the hosts that rank first for the server get one call each.
func (r *Relay) warmupLimit(t *table, id string, now time.Time) (perSecond int, cold bool) {
	server, ok := t.state.Server(id)
	if !ok || !server.Cold(now) {
		return 0, false
	}
	service := t.state.Config().Services[server.Service]
	if service.WarmupRate <= 0 {
		return 0, false
	}
	b := r.options.Bounds()
	fleetLimit := int(usableWarmupRate * (service.WarmupRate*b.WarmupFactor + b.WarmupSlack))
	hosts := max(r.options.Membership.HostCount(), 1)
	if fleetLimit >= hosts {
		return fleetLimit / hosts, true
	}
	if r.options.Membership.IsTopRanked(id, fleetLimit) {
		return 1, true
	}
	return 0, true
}

// warmupRate returns the rate limiter of this host's calls to a cold server.
func (r *Relay) warmupRate(id string) *limit.Rate {
	r.mu.RLock()
	rate, ok := r.warmupRates[id]
	r.mu.RUnlock()
	if ok {
		return rate
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if rate, ok = r.warmupRates[id]; !ok {
		rate = &limit.Rate{}
		r.warmupRates[id] = rate
	}
	return rate
}

// prune drops the budgets, rates and admissions of services, servers and routes that are gone.
func (r *Relay) prune(t *table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.warmupRates {
		if _, ok := t.state.Server(id); !ok {
			delete(r.warmupRates, id)
		}
	}
	config := t.state.Config()
	if config == nil {
		return
	}
	for name := range r.retryStates {
		if _, ok := config.Services[name]; !ok {
			delete(r.retryStates, name)
		}
	}
	for name := range r.admissions {
		if !config.HasRoute(name) {
			delete(r.admissions, name)
		}
	}
	for name := range r.fairShares {
		if !config.HasRoute(name) {
			delete(r.fairShares, name)
		}
	}
}
