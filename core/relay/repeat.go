package relay

import (
	"math/rand/v2"
	"time"

	"magnoliaworks/core/shed"
	"magnoliaworks/core/topo"
)

// repeats returns what this host knows of the repeated calls for a service.
func (r *Relay) repeats(service string, now time.Time) shed.Repeats {
	state := r.retryState(service)
	share, slack := r.retryBounds(1)
	return shed.Repeats{
		Refused: state.refusals.Share(now),
		Left:    state.budget.Left(now, share, slack),
		Most:    state.budget.Most(now, share, slack),
	}
}

// allowedLosses returns the number of shards that the search may lose.
func (e *execution) allowedLosses(target topo.ShardSet) int {
	return e.setSize - shed.NeededShards(e.setSize, target.MinCoverage)
}

// mayFinish reports whether a search has a chance to reach its minimum coverage with the repeats that this host may send. Those that
// are refused count for the budget all the same.
func (e *execution) mayFinish(target topo.ShardSet) bool {
	now := time.Now()
	var refusing []shed.Repeats
	for i := range e.shards {
		if e.relay.retryState(e.shards[i].service).refusals.Share(now) > 0 {
			refusing = append(refusing, e.relay.repeats(e.shards[i].service, now))
		}
	}
	if len(refusing) == 0 || shed.MayFinish(refusing, e.allowedLosses(target), rand.Float64()) {
		return true
	}
	for i := range e.shards {
		e.relay.retryState(e.shards[i].service).budget.RecordOrdinary(now)
	}
	return false
}

// choosesRepeats reports whether the repeat of a shard's call waits for the decision which shards are called again.
func (e *execution) choosesRepeats(s *shard) bool {
	_, ok := e.route.Target.(topo.ShardSet)
	return ok && !e.forPeer && e.relay.repeats(s.service, time.Now()).Scarce()
}

// repeatWaiting repeats the calls for those waiting shards that are needed, or gives the shards up.
func (e *execution) repeatWaiting() {
	target, ok := e.route.Target.(topo.ShardSet)
	for ok && len(e.waiting) > 0 {
		known := make([]shed.Repeats, len(e.waiting))
		for n, i := range e.waiting {
			known[n] = e.relay.repeats(e.shards[i].service, time.Now())
		}
		lost := len(e.shards) - e.unresolved - e.answered
		switch next := shed.ChooseRepeat(known, lost, e.allowedLosses(target)).(type) {
		case shed.Ask:
			i := e.waiting[next.Index]
			e.waiting = append(e.waiting[:next.Index], e.waiting[next.Index+1:]...)
			if !e.relay.spendRetryBudget(e.shards[i].service) {
				e.giveUp(i, "the budget for repeated calls is empty")
				continue
			}
			e.send(i, reasonRetry)
		case shed.Wait:
			if len(e.waiting) < e.unresolved {
				return
			}
			e.giveUpWaiting("left out to save the budget for repeated calls")
		default:
			e.giveUpWaiting("the budget for repeated calls does not finish the search")
		}
	}
}

// giveUpWaiting gives up all waiting shards.
func (e *execution) giveUpWaiting(reason string) {
	waiting := e.waiting
	e.waiting = nil
	for _, i := range waiting {
		e.giveUp(i, reason)
	}
}
