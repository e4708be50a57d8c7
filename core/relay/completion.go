package relay

import (
	"time"

	"magnoliaworks/core/query"
	"magnoliaworks/core/topo"
	"magnoliaworks/core/trace"
)

// handleCompletion handles the result of one call.
func (e *execution) handleCompletion(c completion) {
	at := &e.attempts[c.attempt]
	at.ended = true
	s := &e.shards[at.shard]
	s.pending--
	switch r := c.result.(type) {
	case query.Done:
		s.ran++
		e.acceptReply(at, r.Reply)
	case query.Failed:
		s.ran++
		s.reason = r.Reason
		e.recordFailure(at, s, "failed")
		if r.Reply != nil {
			s.failureReply = r.Reply
		}
		e.retryOrGiveUp(at.shard, true)
	case query.NotExecuted:
		s.reason = r.Reason
		e.recordFailure(at, s, "not run")
		e.retryOrGiveUp(at.shard, r.Cause != query.Unavailable)
	default:
		s.reason = "unexpected result"
		e.giveUp(at.shard, s.reason)
	}
}

// recordFailure notes a call that brought no part.
func (e *execution) recordFailure(at *attempt, s *shard, what string) {
	e.step(trace.Step{
		What:   what,
		Shard:  s.service,
		Server: at.server,
		Detail: s.reason,
	})
}

func (e *execution) acceptReply(at *attempt, reply *query.Reply) {
	s := &e.shards[at.shard]
	if s.closed {
		return
	}
	s.reply = reply
	e.completeShard(at.shard)
	if e.halfObjectivePassed(time.Now()) {
		e.step(trace.Step{
			What:   "late part",
			Shard:  s.service,
			Server: at.server,
			Detail: at.reason,
		})
	}
}

// halfObjectivePassed reports whether half of the objective has passed.
func (e *execution) halfObjectivePassed(now time.Time) bool {
	return e.route.LatencyObjective > 0 && now.After(e.message.At(e.route.LatencyObjective/2))
}

// completeShard closes a shard whose part is in.
func (e *execution) completeShard(i int) {
	s := &e.shards[i]
	s.closed = true
	s.answered = true
	e.unresolved--
	e.answered++
	for t := range e.attempts {
		at := &e.attempts[t]
		if at.shard == i && !at.ended {
			at.ended = true
			at.abandon(cancelGrace)
		}
	}
}

// retryOrGiveUp sends the message of a shard to another server, if it may run there.
// A call that reached a server before makes the next one a repeat, which draws on the budget of the service.
func (e *execution) retryOrGiveUp(i int, reached bool) {
	s := &e.shards[i]
	if s.closed || s.pending > 0 {
		return
	}
	switch {
	case s.ran > 0 && !e.route.Idempotent:
		e.giveUp(i, "the message may have run")
	case s.ran >= e.route.MaxAttempts:
		e.giveUp(i, "all attempts are used up")
	case reached && !e.relay.spendRetryBudget(s.service):
		e.giveUp(i, "the budget for repeated calls is empty")
	default:
		e.send(i, reasonRetry)
	}
}

// abandonCalls ends interest in the calls whose result is missing.
func (e *execution) abandonCalls() {
	grace := cancelGrace
	if e.aborted {
		grace = disconnectGrace
	}
	for t := range e.attempts {
		at := &e.attempts[t]
		if !at.ended && at.abandon(grace) {
			at.ended = true
		}
	}
}

// buildAnswer builds the answer or the refusal from the results.
func (e *execution) buildAnswer() (Answer, error) {
	e.withdrawQueued()
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
			Reason:     s.reason,
			RetryAfter: overloadRetryAfter,
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

// unknownReason returns why the outcome of a message to one service is not known.
func (e *execution) unknownReason(s *shard) string {
	switch {
	case e.aborted:
		return "the caller left while a call was in progress"
	case s.pending > 0:
		return "no reply within the wait"
	default:
		return s.reason
	}
}

// withdrawQueued takes back the calls that still wait for a connection, which therefore have not run.
func (e *execution) withdrawQueued() {
	for t := range e.attempts {
		at := &e.attempts[t]
		if !at.ended && at.abandon(cancelGrace) {
			at.ended = true
			e.shards[at.shard].pending--
		}
	}
}

func (e *execution) mergeReplies(target topo.ShardSet) (Answer, error) {
	e.recordMissing()
	if e.answered > 0 && e.hasMinCoverage() {
		bodies := make([][]byte, 0, e.answered)
		proofs := make([]string, 0, e.answered)
		for i := range e.shards {
			if reply := e.shards[i].reply; reply != nil {
				bodies = append(bodies, reply.Body)
				proofs = append(proofs, reply.Signature)
			}
		}
		if e.peerResult != nil {
			bodies = append(bodies, e.peerResult.Body)
			proofs = append(proofs, e.peerResult.Signatures...)
		}
		return Merged{
			Signatures: proofs,
			Missing:    len(e.shards) - e.answered,
			Body:       merge(bodies, target.TopK),
		}, nil
	}
	if !e.mayHaveRun() {
		return nil, query.NotRun{
			Reason:     e.firstReason(),
			RetryAfter: overloadRetryAfter,
		}
	}
	return nil, query.Partial{
		Coverage:    e.coverage(),
		MinCoverage: target.MinCoverage,
	}
}

// recordMissing notes the shards whose part is not in although their calls are in progress.
func (e *execution) recordMissing() {
	for i := range e.shards {
		if s := &e.shards[i]; !s.answered && !s.closed {
			e.step(trace.Step{
				What:  "missing",
				Shard: s.service,
			})
		}
	}
}

func (e *execution) mayHaveRun() bool {
	for i := range e.shards {
		if e.shards[i].ran > 0 || e.shards[i].pending > 0 {
			return true
		}
	}
	return false
}

func (e *execution) firstReason() string {
	for i := range e.shards {
		if e.shards[i].reason != "" {
			return e.shards[i].reason
		}
	}
	return "no backend server available"
}

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
