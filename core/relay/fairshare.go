package relay

import (
	"fmt"
	"time"

	"magnoliaworks/core/fair"
	"magnoliaworks/core/topo"
)

// newClaim returns what a message asks for when not all can be served.
func newClaim(config *topo.Config, account topo.Account, matched *topo.Route) fair.Claim {
	if account.Name == "" {
		return fair.Claim{}
	}
	return fair.Claim{
		Account:  account.Name,
		Part:     config.AllowancePart(account),
		Priority: matched.Priority,
	}
}

// fairShare returns the chance with which this search is started if a share of the route's searches is. Without client accounts it is
// that share.
func (e *execution) fairShare(share float64, now time.Time) float64 {
	if e.claim.Account == "" {
		return share
	}
	return e.relay.shares(e.route.Name).Chance(e.claim, min(share, e.urgentShare(now)), now)
}

// claimText describes what the chance of this search was decided by; it is empty without client accounts.
func (e *execution) claimText(now time.Time) string {
	if e.claim.Account == "" {
		return ""
	}
	return fmt.Sprintf(" for account %q with %.3f of the allowances, priority %d; of the route's searches %.2f, of more urgent ones %.2f",
		e.claim.Account, e.claim.Part, e.claim.Priority, e.relay.admission(e.route.Name).Share(now), e.urgentShare(now))
}

// urgentShare returns the least share of the searches that is started of the routes to the same shard set that are more urgent, so
// that their callers aren't refused for less urgent ones.
func (e *execution) urgentShare(now time.Time) float64 {
	t := e.relay.table.Load()
	share := 1.0
	for _, other := range t.routesOf(e.route) {
		if other.Priority < e.routePriority {
			share = min(share, e.relay.admission(other.Name).Share(now))
		}
	}
	return share
}

// routesOf returns the routes to the shard set of a route.
func (t *table) routesOf(route *topo.Route) []*topo.Route {
	set, ok := route.Target.(topo.ShardSet)
	if !ok || len(set.Services) == 0 {
		return nil
	}
	return t.searchRoutes[set.Services[0]]
}

// shares returns the shares of a route's searches.
func (r *Relay) shares(route string) *fair.Shares {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.fairShares[route]
	if !ok {
		s = fair.New()
		r.fairShares[route] = s
	}
	return s
}
