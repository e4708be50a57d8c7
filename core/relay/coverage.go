package relay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"magnoliaworks/core/query"
	"magnoliaworks/core/shed"
	"magnoliaworks/core/topo"
	"magnoliaworks/core/trace"
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
		RetryAfter: shed.StartRetryAfter(time.Since(e.relay.started), rand.Float64()),
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

// checkAdmitted refuses a share of the searches while servers reject calls. Nothing has been sent at this point.
func (e *execution) checkAdmitted() error {
	if _, ok := e.route.Target.(topo.ShardSet); !ok {
		return nil
	}
	share := e.relay.admission(e.route.Name).Share(time.Now())
	if share >= 1 || rand.Float64() < share {
		return nil
	}
	e.step(trace.Step{
		What:   "not admitted",
		Detail: fmt.Sprintf("share %.2f", share),
	})
	return query.NotRun{
		Reason:     fmt.Sprintf("servers reject calls, %.0f of 100 searches are started", 100*share),
		RetryAfter: shed.RetryAfter(overloadRetryAfter, share, rand.Float64()),
	}
}

// recordAdmission records whether a search reached its minimum coverage or failed since servers rejected calls.
func (e *execution) recordAdmission(now time.Time) {
	target, ok := e.route.Target.(topo.ShardSet)
	if !ok {
		return
	}
	switch admission := e.relay.admission(e.route.Name); {
	case e.answered > 0 && e.hasMinCoverage():
		admission.Answered(now)
	case e.rejected() && e.outOfReach(target):
		admission.Overloaded(now)
	}
}

// retryAfter returns the advised delay before a message that was not executed is sent again.
func (e *execution) retryAfter() time.Duration {
	share := 1.0
	if _, ok := e.route.Target.(topo.ShardSet); ok {
		share = e.relay.admission(e.route.Name).Share(time.Now())
	}
	return shed.RetryAfter(overloadRetryAfter, share, rand.Float64())
}

// rejected reports whether most of the shards without a reply lack it since servers rejected the calls.
func (e *execution) rejected() bool {
	lost, rejected := 0, 0
	for i := range e.shards {
		if s := &e.shards[i]; s.resolved && !s.answered {
			lost++
			if s.rejected {
				rejected++
			}
		}
	}
	return 2*rejected >= lost
}

// admission returns the admission of a route's searches.
func (r *Relay) admission(route string) *shed.Admission {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, ok := r.admissions[route]
	if !ok {
		a = &shed.Admission{}
		r.admissions[route] = a
	}
	return a
}
