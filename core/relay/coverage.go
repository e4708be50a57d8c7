package relay

import (
	"fmt"
	"time"

	"magnoliaworks/core/query"
	"magnoliaworks/core/topo"
)

// checkReachable returns the refusal of a search for which too few shards have a server at all; nothing has been sent.
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
		Reason:     fmt.Sprintf("%d of %d shards have a server, the minimum share is %g", reachable, len(target.Services), target.MinCoverage),
		RetryAfter: unreadyRetryAfter,
	}
}

// partialDue reports whether the answer is due although shards are open.
func (e *execution) partialDue() bool {
	return e.answered > 0 && e.hasMinCoverage() && !time.Now().Before(e.partialAfter)
}

func (e *execution) hasMinCoverage() bool {
	target, ok := e.route.Target.(topo.ShardSet)
	if !ok {
		return e.answered > 0
	}
	// What may be missing is a part of the whole set, of which a bundle has some shards.
	missing := len(e.shards) - e.answered
	return float64(len(target.Services)-missing) >= target.MinCoverage*float64(len(target.Services))
}
