package gather

import (
	"time"

	"magnoliaworks/core/query"
)

// handleCompletion handles the result of one sub-request.
func (e *execution) handleCompletion(completion Completion) {
	a := &e.attempts[completion.Token]
	a.ended = true
	s := &e.shards[a.shard]
	s.pending--
	e.gatherer.options.Picker.Finished(a.server, e.kindName, time.Since(a.sent), completion.Result)
	switch r := completion.Result.(type) {
	case query.Done:
		e.handleDone(a, s, r)
	case query.SnapshotAbsent:
		e.observeSnapshots(a.server, r.Feedback)
		e.handleAbsent(a, s)
	case query.NotExecuted:
		e.observeSnapshots(a.server, r.Feedback)
		e.record.step("refused", s.shard.ID, a.server, r.Reason)
		e.retryRefused(a.shard, r.Cause)
	case query.Failed:
		e.possiblyRun = true
		e.record.step("failed", s.shard.ID, a.server, r.Reason)
		e.retryWithinBudget(a.shard)
	}
}

// handleDone puts a result into the answer, unless it is of another snapshot.
func (e *execution) handleDone(a *attempt, s *shardState, r query.Done) {
	e.possiblyRun = true
	e.observeSnapshots(a.server, r.Feedback)
	if r.Snapshot != e.snapshot.Version {
		e.record.step("dropped", s.shard.ID, a.server, "the reply is of another snapshot")
		e.retryWithinBudget(a.shard)
		return
	}
	e.gatherer.hedgeDelayEstimate(e.req.Collection, e.req.Kind).Observe(time.Since(a.sent))
	if s.resolved {
		return
	}
	if !r.Complete && s.pending > 0 {
		s.hits = r.Hits
		return
	}
	s.resolved = true
	s.complete = r.Complete
	s.hits = r.Hits
	e.unresolved--
	e.cancelShard(a.shard)
}

// handleAbsent tries another replica; without one the search starts again on another snapshot.
func (e *execution) handleAbsent(a *attempt, s *shardState) {
	e.record.step("snapshot absent", s.shard.ID, a.server, "")
	if s.resolved || s.pending > 0 {
		return
	}
	server, ok := e.gatherer.options.Picker.Pick(e.candidates(s))
	if !ok || len(s.tried) == maxAttempts {
		e.snapshotLost = true
		e.giveUp(a.shard)
		return
	}
	e.sendTo(a.shard, server, Retry)
}

// retryRefused sends a refused sub-request to another server; only refusals for load draw on the budget for retries,
// since a retry of the others adds no load.
func (e *execution) retryRefused(i int, cause query.Cause) {
	if cause == query.Busy {
		e.retryWithinBudget(i)
		return
	}
	if s := &e.shards[i]; !s.resolved && s.pending == 0 {
		e.send(i, Retry)
	}
}

// retryWithinBudget sends the sub-request of a shard to another server within the budget for retries.
func (e *execution) retryWithinBudget(i int) {
	s := &e.shards[i]
	if s.resolved || s.pending > 0 {
		return
	}
	if !e.gatherer.options.RetryBudget.Spend() {
		e.record.step("not retried", s.shard.ID, "", "the budget for retries is empty")
		e.giveUp(i)
		return
	}
	e.send(i, Retry)
}

func (e *execution) observeSnapshots(server string, feedback query.Feedback) {
	e.gatherer.options.Snapshots.Observe(server, feedback.OldestSnapshot, feedback.NewestSnapshot)
}

// cancelShard ends the other sub-requests of a shard that has its result.
// Mirrors go on until the search ends, since their time is what is wanted of them.
func (e *execution) cancelShard(i int) {
	for t := range e.attempts {
		if e.attempts[t].shard == i && e.attempts[t].reason != Mirror {
			e.cancelAttempt(t, true)
		}
	}
}

// cancelAll ends all sub-requests whose result is missing.
func (e *execution) cancelAll() {
	for t := range e.attempts {
		e.cancelAttempt(t, false)
	}
}

// cancelAttempt ends one sub-request; lost tells that another reply was faster.
func (e *execution) cancelAttempt(t int, superseded bool) {
	a := &e.attempts[t]
	if a.ended {
		return
	}
	a.ended = true
	a.cancel()
	e.gatherer.options.Picker.Cancelled(a.server, e.kindName, time.Since(a.sent), superseded)
}

// finish builds the answer or the refusal from the results.
func (e *execution) finish() (query.Answer, error) {
	answer := query.Answer{
		Snapshot: e.snapshot.Version,
		Coverage: e.coverage(),
	}
	if answer.Coverage.Answered == 0 && !e.mayHaveRun() {
		return answer, query.NotRun{
			Reason:     e.lastRefusal(),
			RetryAfter: overloadRetryAfter,
		}
	}
	if answer.Coverage.Answered == 0 || answer.Coverage.Share() < e.kind.MinCoverage {
		return answer, query.Partial{
			Snapshot:    e.snapshot.Version,
			Coverage:    answer.Coverage,
			MinCoverage: e.kind.MinCoverage,
		}
	}
	perShard := make([][]query.Hit, 0, len(e.shards))
	for i := range e.shards {
		for h := range e.shards[i].hits {
			e.shards[i].hits[h].Shard = e.shards[i].shard.ID
		}
		perShard = append(perShard, e.shards[i].hits)
	}
	answer.Hits = query.Merge(perShard, e.req.Limit)
	return answer, nil
}

// mayHaveRun reports whether any sub-request has run or is still with a server.
func (e *execution) mayHaveRun() bool {
	if e.possiblyRun {
		return true
	}
	for i := range e.attempts {
		if !e.attempts[i].ended {
			return true
		}
	}
	return false
}

func (e *execution) lastRefusal() string {
	for i := len(e.record.steps) - 1; i >= 0; i-- {
		if step := e.record.steps[i]; step.What == "refused" {
			return step.Detail
		}
	}
	return "no backend server available"
}

func (e *execution) coverage() query.Coverage {
	c := query.Coverage{
		Total: len(e.shards),
	}
	for i := range e.shards {
		if e.shards[i].complete {
			c.Answered++
			continue
		}
		c.Missing = append(c.Missing, e.shards[i].shard.ID)
	}
	return c
}
