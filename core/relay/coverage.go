package relay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"magnoliaworks/core/query"
	"magnoliaworks/core/route"
	"magnoliaworks/core/shed"
	"magnoliaworks/core/topo"
)

// checkReachable refuses a search for which too few shards have a server that accepts calls. Nothing has been sent at this point.
func (e *execution) checkReachable() error {
	target, ok := e.route.Target.(topo.ShardSet)
	if !ok {
		return nil
	}
	t, now := e.relay.table.Load(), time.Now()
	reachable := 0
	for _, service := range target.Services {
		if e.relay.acceptsAny(t, service, now) {
			reachable++
		}
	}
	if float64(reachable) >= target.MinCoverage*float64(len(target.Services)) && reachable > 0 {
		return nil
	}
	retryAfter := shed.StartRetryAfter(time.Since(e.relay.started), rand.Float64())
	if wait := e.quietTime(now); wait > 0 {
		retryAfter = shed.QuietRetryAfter(wait, rand.Float64())
	}
	return query.NotRun{
		Reason:     fmt.Sprintf("%d of %d shards have a server that accepts calls, the minimum coverage is %g", reachable, len(target.Services), target.MinCoverage),
		RetryAfter: retryAfter,
	}
}

// acceptsAny reports whether a server of a service accepts calls.
func (r *Relay) acceptsAny(t *table, service string, now time.Time) bool {
	return slices.ContainsFunc(t.replicas[service], func(s route.Server) bool {
		return r.options.Pool.Accepts(s.ID, s.Incarnation, now)
	})
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

// hopeless reports whether a search can't reach its minimum coverage any more and may have been executed in part. While no
// server has executed it, the results in flight decide whether its caller can be told that it has not run.
func (e *execution) hopeless() bool {
	target, ok := e.route.Target.(topo.ShardSet)
	return ok && e.executed() && e.outOfReach(target)
}

// outOfReach reports whether the shards that are lost leave too few for the minimum coverage.
func (e *execution) outOfReach(target topo.ShardSet) bool {
	return shed.Hopeless(e.setSize, len(e.shards)-e.unresolved-e.answered, target.MinCoverage)
}

// executed reports whether a server has or may have executed the message.
func (e *execution) executed() bool {
	for i := range e.shards {
		if e.shards[i].ran > 0 {
			return true
		}
	}
	return false
}
