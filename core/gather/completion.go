package gather

import (
	"time"

	"magnoliaworks/core/query"
)

// handleCompletion processes the result of one sub-request. That of a cancelled one, which was queued before the
// cancellation, is dropped: the cancellation has counted it off.
func (e *execution) handleCompletion(completion Completion) {
	a := &e.attempts[completion.Token]
	if a.ended {
		return
	}
	a.ended = true
	s := &e.shards[a.shard]
	s.pending--
	e.gatherer.options.Picker.Finished(a.server, e.kindName, time.Since(a.sentAt), completion.Result)
	switch r := completion.Result.(type) {
	case query.Done:
		e.handleDone(a, s, r)
	case query.SnapshotAbsent:
		e.observeSnapshots(a.server, r.Feedback)
		e.handleAbsent(a, s)
	case query.NotExecuted:
		e.observeSnapshots(a.server, r.Feedback)
		e.recorder.step("refused", s.shard.ID, a.server, r.Reason)
		e.retryNotExecuted(a.shard, r.Cause)
	case query.Failed:
		e.possiblyRun = true
		e.recorder.step("failed", s.shard.ID, a.server, r.Reason)
		e.retryWithinBudget(a.shard)
	}
}

// handleDone adds a result to the answer. A result from another snapshot is dropped and the shard is retried.
// An incomplete result is kept for the case that no other sub-request of the shard returns a better one.
func (e *execution) handleDone(a *attempt, s *shardState, r query.Done) {
	e.possiblyRun = true
	e.observeSnapshots(a.server, r.Feedback)
	if r.Snapshot != e.snapshot.Version {
		e.recorder.step("dropped", s.shard.ID, a.server, "the reply is from another snapshot")
		e.retryWithinBudget(a.shard)
		return
	}
	e.gatherer.hedgeDelayEstimator(e.req.Collection, e.req.Kind).Observe(time.Since(a.sentAt))
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

// handleAbsent retries the shard on another replica, outside the retry budget. When no replica is left, or the shard has
// had maxSubRequestsPerShard sub-requests, the snapshot is lost, and the search restarts on a newer one if there is one.
func (e *execution) handleAbsent(a *attempt, s *shardState) {
	e.recorder.step("snapshot absent", s.shard.ID, a.server, "")
	if s.resolved || s.pending > 0 {
		return
	}
	server, ok := e.gatherer.options.Picker.Pick(e.candidates(s))
	if !ok || len(s.tried) == maxSubRequestsPerShard {
		e.snapshotLost = true
		e.giveUp(a.shard)
		return
	}
	e.sendTo(a.shard, server, ReasonRetry)
}

// retryNotExecuted retries shard i on another server after a sub-request that was not executed. Only the cause Busy
// draws on the retry budget, since a retry after any other cause adds no load.
func (e *execution) retryNotExecuted(i int, cause query.Cause) {
	if cause == query.Busy {
		e.retryWithinBudget(i)
		return
	}
	if s := &e.shards[i]; !s.resolved && s.pending == 0 {
		e.send(i, ReasonRetry)
	}
}

// retryWithinBudget retries shard i on another server, or gives the shard up when the retry budget is empty.
func (e *execution) retryWithinBudget(i int) {
	s := &e.shards[i]
	if s.resolved || s.pending > 0 {
		return
	}
	if !e.gatherer.options.RetryBudget.Spend() {
		e.recorder.step("not retried", s.shard.ID, "", "the retry budget is empty")
		e.giveUp(i)
		return
	}
	e.send(i, ReasonRetry)
}

// observeSnapshots records the range of snapshots that a server holds.
func (e *execution) observeSnapshots(server string, feedback query.Feedback) {
	e.gatherer.options.Snapshots.Observe(server, feedback.OldestSnapshot, feedback.NewestSnapshot)
}

// cancelShard cancels the other sub-requests of a shard that has its result.
// Mirrors continue until the search ends, since their response time is what they are sent for.
func (e *execution) cancelShard(i int) {
	for t := range e.attempts {
		if e.attempts[t].shard == i && e.attempts[t].reason != ReasonMirror {
			e.cancelAttempt(t, true)
		}
	}
}

// cancelAll cancels all sub-requests without a result.
func (e *execution) cancelAll() {
	for t := range e.attempts {
		e.cancelAttempt(t, false)
	}
}

// cancelAttempt cancels one sub-request; hedgeLost is set if another server replied for its shard first,
// whether this sub-request was the hedge or was hedged.
func (e *execution) cancelAttempt(t int, hedgeLost bool) {
	a := &e.attempts[t]
	if a.ended {
		return
	}
	a.ended = true
	a.cancel()
	e.gatherer.options.Picker.Cancelled(a.server, e.kindName, time.Since(a.sentAt), hedgeLost)
}

// finish builds the answer, or a query.Refusal when too few shards were searched completely.
func (e *execution) finish() (query.Answer, error) {
	answer := query.Answer{
		Snapshot: e.snapshot.Version,
		Coverage: e.coverage(),
	}
	if answer.Coverage.Answered == 0 && !e.mayHaveRun() {
		return answer, query.NotRun{
			Reason:     e.lastNotExecutedReason(),
			RetryAfter: retryAfter,
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

// mayHaveRun reports whether any sub-request has run, may have run, or has no result yet and was not cancelled.
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

// lastNotExecutedReason returns the reason of the latest sub-request that was not executed, or a fixed text if
// there is none.
func (e *execution) lastNotExecutedReason() string {
	for i := len(e.recorder.steps) - 1; i >= 0; i-- {
		if step := e.recorder.steps[i]; step.What == "refused" {
			return step.Detail
		}
	}
	return "no backend server available"
}

// coverage counts the shards that were searched completely and names the others.
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
