package relay

import (
	"cmp"
	"time"

	"magnoliaworks/core/query"
	"magnoliaworks/core/topo"
	"magnoliaworks/core/trace"
)

// handleCompletion handles the result of one call.
func (e *execution) handleCompletion(c completion) {
	a := &e.attempts[c.attempt]
	a.ended = true
	s := &e.shards[a.shard]
	s.pending--
	e.observeRejection(a, s, c.result, time.Now())
	switch r := c.result.(type) {
	case query.Done:
		s.ran++
		e.acceptReply(a, r.Reply)
	case query.Failed:
		s.ran++
		s.failureReason = r.Reason
		e.recordFailure(a, s, "failed")
		if r.Reply != nil {
			s.failureReply = r.Reply
		}
		e.retryOrGiveUp(a.shard, true, false)
	case query.NotExecuted:
		s.failureReason = r.Reason
		e.recordFailure(a, s, "not run")
		e.retryOrGiveUp(a.shard, r.Cause != query.Unavailable, r.Cause == query.Busy)
	default:
		s.failureReason = "unexpected result"
		e.giveUp(a.shard, s.failureReason)
	}
}

// observeRejection records whether a server rejected a call, and whether it did so for load. A server with free slots that rejects
// calls by chance may accept the next one.
func (e *execution) observeRejection(a *attempt, s *shard, result query.Result, now time.Time) {
	rejected := isRejection(result)
	e.relay.losses.Observe(rejected || isLoss(result), now)
	quiet := rejected && e.relay.isQuiet(a.server, now)
	if _, ok := e.route.Target.(topo.ShardSet); ok && !quiet {
		e.relay.retryState(s.service).refusals.Observe(rejected, now)
	}
	switch {
	case !rejected || quiet:
	case hasFreeSlots(result):
		s.refusing = append(s.refusing, a.server)
	default:
		s.rejected = true
	}
}

// hasFreeSlots reports whether the server that rejected a call states that it has slots free.
func hasFreeSlots(result query.Result) bool {
	r, ok := result.(query.NotExecuted)
	return ok && r.Feedback.Load.HasFreeSlots()
}

// isRejection reports whether a server rejected a call for lack of capacity.
func isRejection(result query.Result) bool {
	notExecuted, ok := result.(query.NotExecuted)
	return ok && notExecuted.Cause == query.Busy
}

// isLoss reports whether a call ended without a reply that states its outcome, although a server may have executed it.
func isLoss(result query.Result) bool {
	failed, ok := result.(query.Failed)
	return ok && failed.Reply == nil
}

// recordFailure adds a trace step for a call without a successful reply.
func (e *execution) recordFailure(a *attempt, s *shard, what string) {
	e.step(trace.Step{
		What:   what,
		Shard:  s.service,
		Server: a.server,
		Detail: s.failureReason,
	})
}

// acceptReply stores the first reply for a shard and completes the shard; later replies are dropped.
func (e *execution) acceptReply(a *attempt, reply *query.Reply) {
	s := &e.shards[a.shard]
	if s.resolved {
		return
	}
	s.reply = reply
	e.completeShard(a.shard)
	if e.halfObjectivePassed(time.Now()) {
		e.step(trace.Step{
			What:   "late part",
			Shard:  s.service,
			Server: a.server,
			Detail: a.reason,
		})
	}
}

// halfObjectivePassed reports whether half of the latency objective has passed.
func (e *execution) halfObjectivePassed(now time.Time) bool {
	return e.route.LatencyObjective > 0 && now.After(e.message.At(e.route.LatencyObjective/2))
}

// completeShard resolves a shard whose reply is in and cancels its other calls.
func (e *execution) completeShard(i int) {
	s := &e.shards[i]
	s.resolved = true
	s.answered = true
	e.unresolved--
	e.answered++
	for n := range e.attempts {
		a := &e.attempts[n]
		if a.shard == i && !a.ended {
			a.ended = true
			a.cancel(cancelGrace)
		}
	}
}

// retryOrGiveUp sends the message of a shard without calls in progress to another server, if it may run there,
// and otherwise gives the shard up. The retry draws on the retry budget of the service only if the last call reached a server, and
// waits for a decision if that refused it while the budget is scarce. Lost replies are few, or late already, and repeated at once.
func (e *execution) retryOrGiveUp(i int, reached, refused bool) {
	s := &e.shards[i]
	if s.resolved || s.pending > 0 {
		return
	}
	switch {
	case s.ran > 0 && !e.route.Idempotent:
		e.giveUp(i, "the message may have run")
	case s.ran >= e.route.MaxAttempts:
		e.giveUp(i, "all attempts are used up")
	case refused && e.choosesRepeats(s):
		e.waiting = append(e.waiting, i)
	case reached && !e.relay.spendRetryBudget(s.service):
		e.giveUp(i, "the budget for repeated calls is empty")
	default:
		e.send(i, reasonRetry)
	}
}

// cancelCalls cancels the calls that have not ended, with the shorter grace if the caller has disconnected.
func (e *execution) cancelCalls() {
	grace := cancelGrace
	if e.aborted {
		grace = disconnectGrace
	}
	for n := range e.attempts {
		a := &e.attempts[n]
		if !a.ended && a.cancel(grace) {
			a.ended = true
		}
	}
}

// buildAnswer builds the answer or the refusal from the results.
func (e *execution) buildAnswer() (Answer, error) {
	e.cancelPending()
	if target, ok := e.route.Target.(topo.ShardSet); ok {
		return e.mergeReplies(target)
	}
	s := &e.shards[0]
	switch {
	case s.reply != nil:
		return Passthrough{
			Reply: s.reply,
		}, nil
	case s.ran == 0 && s.pending == 0:
		return nil, query.NotRun{
			Reason:     cmp.Or(s.failureReason, "no connection to a server became free in time"),
			RetryAfter: e.retryAfter(),
		}
	case s.failureReply != nil && s.pending == 0:
		return Passthrough{
			Reply: s.failureReply,
		}, nil
	default:
		return nil, query.OutcomeUnknown{
			Reason: e.unknownReason(s),
		}
	}
}

// unknownReason returns why the outcome of a message to a single service is unknown.
func (e *execution) unknownReason(s *shard) string {
	switch {
	case e.aborted:
		return "the caller disconnected while a call was in progress"
	case s.pending > 0:
		return "no reply before the deadline"
	default:
		return s.failureReason
	}
}

// cancelPending cancels the calls that have not ended. Those still queued for a connection are withdrawn, hence not executed,
// and no longer count as pending.
func (e *execution) cancelPending() {
	for n := range e.attempts {
		a := &e.attempts[n]
		if !a.ended && a.cancel(cancelGrace) {
			a.ended = true
			e.shards[a.shard].pending--
		}
	}
}

// mergeReplies merges the replies of a shard set, or returns the refusal if they do not reach the minimum coverage.
func (e *execution) mergeReplies(target topo.ShardSet) (Answer, error) {
	e.recordMissing()
	if e.answered > 0 && e.hasMinCoverage() {
		bodies := make([][]byte, 0, e.answered)
		signatures := make([]string, 0, e.answered)
		for i := range e.shards {
			if reply := e.shards[i].reply; reply != nil {
				bodies = append(bodies, reply.Body)
				signatures = append(signatures, reply.Signature)
			}
		}
		for _, d := range e.delegations {
			if d.gathered != nil {
				bodies = append(bodies, d.gathered.Body)
				signatures = append(signatures, d.gathered.Signatures...)
			}
		}
		return Merged{
			Signatures: signatures,
			Missing:    len(e.shards) - e.answered,
			Body:       merge(bodies, target.TopK),
		}, nil
	}
	if !e.mayHaveRun() {
		return nil, query.NotRun{
			Reason:     e.firstReason(),
			RetryAfter: e.retryAfter(),
		}
	}
	return nil, query.Partial{
		Coverage:    e.coverage(),
		MinCoverage: target.MinCoverage,
	}
}

// recordMissing adds a trace step for each shard whose calls are still in progress.
func (e *execution) recordMissing() {
	for i := range e.shards {
		if s := &e.shards[i]; !s.answered && !s.resolved {
			e.step(trace.Step{
				What:  "missing",
				Shard: s.service,
			})
		}
	}
}

// mayHaveRun reports whether the message has or may have been executed on any server.
func (e *execution) mayHaveRun() bool {
	for i := range e.shards {
		if e.shards[i].ran > 0 || e.shards[i].pending > 0 {
			return true
		}
	}
	return false
}

// firstReason returns the reason of the first shard that has one.
func (e *execution) firstReason() string {
	for i := range e.shards {
		if e.shards[i].failureReason != "" {
			return e.shards[i].failureReason
		}
	}
	return "no backend server available"
}

// coverage returns how many shards are answered and which are missing.
func (e *execution) coverage() query.Coverage {
	c := query.Coverage{
		Answered: e.answered,
		Total:    len(e.shards),
	}
	for i := range e.shards {
		if !e.shards[i].answered {
			c.Missing = append(c.Missing, e.shards[i].service)
		}
	}
	return c
}
