package gather

import (
	"time"

	"magnoliaworks/core/query"
)

// take handles the result of one sub-request.
func (f *flight) take(reply Completion) {
	a := &f.attempts[reply.Token]
	a.ended = true
	s := &f.shards[a.shard]
	s.pending--
	f.g.parts.Picker.Finished(a.server, f.kindName, time.Since(a.sent), reply.Result)
	switch r := reply.Result.(type) {
	case query.Done:
		f.takeDone(a, s, r)
	case query.SnapshotAbsent:
		f.learn(a.server, r.Feedback)
		f.takeAbsent(a, s)
	case query.NotExecuted:
		f.learn(a.server, r.Feedback)
		f.record.step("refused", s.shard.ID, a.server, r.Reason)
		f.elsewhere(a.shard, r.Cause)
	case query.Failed:
		f.ran = true
		f.record.step("failed", s.shard.ID, a.server, r.Reason)
		f.again(a.shard)
	}
}

// takeDone puts a result into the answer, unless it is of another snapshot.
func (f *flight) takeDone(a *attempt, s *shardState, r query.Done) {
	f.ran = true
	f.learn(a.server, r.Feedback)
	if r.Snapshot != f.snapshot.Version {
		f.record.step("dropped", s.shard.ID, a.server, "the reply is of another snapshot")
		f.again(a.shard)
		return
	}
	f.g.hedgeDelay(f.req.Collection, f.req.Kind).Observe(time.Since(a.sent))
	if s.closed {
		return
	}
	if !r.Complete && s.pending > 0 {
		s.hits = r.Hits
		return
	}
	s.closed = true
	s.whole = r.Complete
	s.hits = r.Hits
	f.open--
	f.cancelShard(a.shard)
}

// takeAbsent tries another replica; without one the search starts again on another snapshot.
func (f *flight) takeAbsent(a *attempt, s *shardState) {
	f.record.step("snapshot absent", s.shard.ID, a.server, "")
	if s.closed || s.pending > 0 {
		return
	}
	server, ok := f.g.parts.Picker.Pick(f.candidates(s))
	if !ok || len(s.tried) == maxAttempts {
		f.gone = true
		f.giveUp(a.shard)
		return
	}
	f.sendTo(a.shard, server, Retry)
}

// elsewhere sends a refused sub-request to another server; only refusals for load draw on the budget for retries,
// since a retry of the others adds no load.
func (f *flight) elsewhere(i int, cause query.Cause) {
	if cause == query.Busy {
		f.again(i)
		return
	}
	if s := &f.shards[i]; !s.closed && s.pending == 0 {
		f.send(i, Retry)
	}
}

// again sends the sub-request of a shard to another server within the budget for retries.
func (f *flight) again(i int) {
	s := &f.shards[i]
	if s.closed || s.pending > 0 {
		return
	}
	if !f.g.parts.RetryBudget.Spend() {
		f.record.step("not retried", s.shard.ID, "", "the budget for retries is empty")
		f.giveUp(i)
		return
	}
	f.send(i, Retry)
}

func (f *flight) learn(server string, h query.Feedback) {
	f.g.parts.Snapshots.Observe(server, h.OldestSnapshot, h.NewestSnapshot)
}

// cancelShard ends the other sub-requests of a shard that has its result.
// Mirrors go on until the search ends, since their time is what is wanted of them.
func (f *flight) cancelShard(i int) {
	for t := range f.attempts {
		if f.attempts[t].shard == i && f.attempts[t].reason != Mirror {
			f.cancelAttempt(t, true)
		}
	}
}

// cancelRest ends all sub-requests whose result is missing.
func (f *flight) cancelRest() {
	for t := range f.attempts {
		f.cancelAttempt(t, false)
	}
}

// cancelAttempt ends one sub-request; lost tells that another reply was faster.
func (f *flight) cancelAttempt(t int, lost bool) {
	a := &f.attempts[t]
	if a.ended {
		return
	}
	a.ended = true
	a.cancel()
	f.g.parts.Picker.Cancelled(a.server, f.kindName, time.Since(a.sent), lost)
}

// finish builds the answer or the refusal from the results.
func (f *flight) finish() (query.Answer, error) {
	answer := query.Answer{
		Snapshot: f.snapshot.Version,
		Coverage: f.coverage(),
	}
	if answer.Coverage.Answered == 0 && !f.mayHaveRun() {
		return answer, query.NotRun{
			Reason:     f.lastReason(),
			RetryAfter: overloadRetry,
		}
	}
	if answer.Coverage.Answered == 0 || answer.Coverage.Share() < f.kind.MinCoverage {
		return answer, query.Partial{
			Snapshot:    f.snapshot.Version,
			Coverage:    answer.Coverage,
			MinCoverage: f.kind.MinCoverage,
		}
	}
	perShard := make([][]query.Hit, 0, len(f.shards))
	for i := range f.shards {
		for h := range f.shards[i].hits {
			f.shards[i].hits[h].Shard = f.shards[i].shard.ID
		}
		perShard = append(perShard, f.shards[i].hits)
	}
	answer.Hits = query.Merge(perShard, f.req.Limit)
	return answer, nil
}

// mayHaveRun reports whether any sub-request has run or is still with a server.
func (f *flight) mayHaveRun() bool {
	if f.ran {
		return true
	}
	for i := range f.attempts {
		if !f.attempts[i].ended {
			return true
		}
	}
	return false
}

func (f *flight) lastReason() string {
	for i := len(f.record.steps) - 1; i >= 0; i-- {
		if step := f.record.steps[i]; step.What == "refused" {
			return step.Detail
		}
	}
	return "no backend server available"
}

func (f *flight) coverage() query.Coverage {
	c := query.Coverage{
		Total: len(f.shards),
	}
	for i := range f.shards {
		if f.shards[i].whole {
			c.Answered++
			continue
		}
		c.Missing = append(c.Missing, f.shards[i].shard.ID)
	}
	return c
}
