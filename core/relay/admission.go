package relay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"magnoliaworks/core/query"
	"magnoliaworks/core/shed"
	"magnoliaworks/core/topo"
	"magnoliaworks/core/trace"
)

// checkAdmitted refuses a share of the searches while servers reject calls. Nothing has been sent at this point.
func (e *execution) checkAdmitted() error {
	if _, ok := e.route.Target.(topo.ShardSet); !ok {
		return nil
	}
	now := time.Now()
	share := e.fairShare(e.relay.admission(e.route.Name).Share(now), now)
	if share >= 1 || rand.Float64() < share {
		return nil
	}
	e.step(trace.Step{
		What:   "not admitted",
		Detail: fmt.Sprintf("share %.2f", share) + e.claimText(now),
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
	if wait := e.quietTime(time.Now()); wait > 0 {
		return shed.QuietRetryAfter(wait, rand.Float64())
	}
	share := 1.0
	if _, ok := e.route.Target.(topo.ShardSet); ok {
		share = e.relay.admission(e.route.Name).Share(time.Now())
	}
	return shed.RetryAfter(overloadRetryAfter, share, rand.Float64())
}

// quietTime returns the time until enough shards have a server that accepts calls; it is 0 if they have one now, or if too few
// have one that comes back.
func (e *execution) quietTime(now time.Time) time.Duration {
	t := e.relay.table.Load()
	waits := make([]time.Duration, 0, len(e.shards))
	for i := range e.shards {
		if wait, ok := e.relay.quietTime(t, e.shards[i].service, now); ok {
			waits = append(waits, wait)
		}
	}
	needed := 1
	if target, ok := e.route.Target.(topo.ShardSet); ok {
		needed = max(shed.NeededShards(len(e.shards), target.MinCoverage), 1)
	}
	if len(waits) < needed {
		return 0
	}
	slices.Sort(waits)
	return waits[needed-1]
}

// quietTime returns the time until a server of the service accepts calls, 0 if one does now; ok is false if none comes back.
func (r *Relay) quietTime(t *table, service string, now time.Time) (wait time.Duration, ok bool) {
	for _, s := range t.replicas[service] {
		if r.options.Pool.Accepts(s.ID, s.Incarnation, now) {
			return 0, true
		}
		if until, quiet := r.options.Pool.QuietUntil(s.ID, s.Incarnation, now); quiet && (!ok || until.Sub(now) < wait) {
			wait, ok = until.Sub(now), true
		}
	}
	return wait, ok
}

// isQuiet reports whether a server has asked for no calls for some time. While it is heeded, what the server turned away is no sign
// of what it can do afterwards.
func (r *Relay) isQuiet(server string, now time.Time) bool {
	known, ok := r.table.Load().state.Server(server)
	if !ok {
		return false
	}
	_, quiet := r.options.Pool.QuietUntil(server, known.Incarnation, now)
	return quiet
}

// rejected reports whether at least half of the shards that were given up had calls that a server rejected for lack of
// capacity, without asking for quiet.
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
