package relay

import (
	"fmt"
	"time"

	"magnoliaworks/core/query"
	"magnoliaworks/core/topo"
)

// checkReachable refuses a search for which too few shards have a server. Nothing has been sent at this point.
func (e *execution) checkReachable() error {
	target, ok := e.route.Target.(topo.ShardSet)
	if !ok {
		return nil
	}
	t := e.relay.table.Load()
	reachable := 0
	for _, service := range target.Services {
		if len(t.replicas[service]) > 0 {
			reachable++
		}
	}
	if float64(reachable) >= target.MinCoverage*float64(len(target.Services)) && reachable > 0 {
		return nil
	}
	return query.NotRun{
		Reason:     fmt.Sprintf("%d of %d shards have a server, the minimum coverage is %g", reachable, len(target.Services), target.MinCoverage),
		RetryAfter: unreadyRetryAfter,
	}
}

// partialDue reports whether the answer is due although shards are unresolved.
func (e *execution) partialDue() bool {
	return e.answered > 0 && e.hasMinCoverage() && !time.Now().Before(e.partialAfter)
}

// hasMinCoverage reports whether enough shards are answered; a message to a single service needs its one reply.
func (e *execution) hasMinCoverage() bool {
	target, ok := e.route.Target.(topo.ShardSet)
	if !ok {
		return e.answered > 0
	}
	// MinCoverage refers to the whole set, also when this host gathers only some of its shards for another host.
	missing := len(e.shards) - e.answered
	return float64(e.setSize-missing) >= target.MinCoverage*float64(e.setSize)
}
