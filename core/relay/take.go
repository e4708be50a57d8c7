package relay

import (
	"time"

	"magnoliaworks/core/query"
	"magnoliaworks/core/topo"
	"magnoliaworks/core/trace"
)

// take handles the result of one call.
func (f *flight) take(a arrival) {
	at := &f.attempts[a.token]
	at.ended = true
	s := &f.shards[at.shard]
	s.pending--
	switch r := a.result.(type) {
	case query.Done:
		s.ran++
		f.takePart(at, r.Reply)
	case query.Failed:
		s.ran++
		s.reason = r.Reason
		f.ended(at, s, "failed")
		if r.Reply != nil {
			s.failure = r.Reply
		}
		f.again(at.shard, true)
	case query.NotExecuted:
		s.reason = r.Reason
		f.ended(at, s, "not run")
		f.again(at.shard, r.Cause != query.Unavailable)
	default:
		s.reason = "unexpected result"
		f.giveUp(at.shard, s.reason)
	}
}

// ended notes a call that brought no part.
func (f *flight) ended(at *attempt, s *shard, what string) {
	f.step(trace.Step{
		What:   what,
		Shard:  s.service,
		Server: at.server,
		Detail: s.reason,
	})
}

func (f *flight) takePart(at *attempt, part *query.Reply) {
	s := &f.shards[at.shard]
	if s.closed {
		return
	}
	s.part = part
	f.answer(at.shard)
	if f.late(time.Now()) {
		f.step(trace.Step{
			What:   "late part",
			Shard:  s.service,
			Server: at.server,
			Detail: at.reason,
		})
	}
}

// late reports whether half of the objective has passed.
func (f *flight) late(now time.Time) bool {
	return f.route.LatencyObjective > 0 && now.After(f.message.At(f.route.LatencyObjective/2))
}

// answer closes a shard whose part is in.
func (f *flight) answer(i int) {
	s := &f.shards[i]
	s.closed = true
	s.in = true
	f.open--
	f.answered++
	for t := range f.attempts {
		at := &f.attempts[t]
		if at.shard == i && !at.ended {
			at.ended = true
			at.abandon(loserGrace)
		}
	}
}

// again sends the message of a shard to another server, if it may run there.
// A call that reached a server before makes the next one a repeat, which draws on the budget of the service.
func (f *flight) again(i int, arrived bool) {
	s := &f.shards[i]
	if s.closed || s.pending > 0 {
		return
	}
	switch {
	case s.ran > 0 && !f.route.Idempotent:
		f.giveUp(i, "the message may have run")
	case s.ran >= f.route.MaxAttempts:
		f.giveUp(i, "all attempts are used up")
	case arrived && !f.r.extra(s.service):
		f.giveUp(i, "the budget for repeated calls is empty")
	default:
		f.send(i, retry)
	}
}

// letGo ends interest in the calls whose result is missing.
func (f *flight) letGo() {
	grace := loserGrace
	if f.left {
		grace = abandonGrace
	}
	for t := range f.attempts {
		at := &f.attempts[t]
		if !at.ended && at.abandon(grace) {
			at.ended = true
		}
	}
}

// finish builds the answer or the refusal from the results.
func (f *flight) finish() (Answer, error) {
	f.withdraw()
	if target, ok := f.route.Target.(topo.ShardSet); ok {
		return f.gather(target)
	}
	s := &f.shards[0]
	switch {
	case s.part != nil:
		return Passthrough{
			Reply: s.part,
		}, nil
	case s.ran == 0 && s.pending == 0:
		return nil, query.NotRun{
			Reason:     s.reason,
			RetryAfter: overloadRetry,
		}
	case s.failure != nil && s.pending == 0:
		return Passthrough{
			Reply: s.failure,
		}, nil
	default:
		return nil, query.OutcomeUnknown{
			Reason: f.unknown(s),
		}
	}
}

// unknown returns why the outcome of a message to one service is not known.
func (f *flight) unknown(s *shard) string {
	switch {
	case f.left:
		return "the caller left while a call was in progress"
	case s.pending > 0:
		return "no reply within the wait"
	default:
		return s.reason
	}
}

// withdraw takes back the calls that still wait for a connection, which therefore have not run.
func (f *flight) withdraw() {
	for t := range f.attempts {
		at := &f.attempts[t]
		if !at.ended && at.abandon(loserGrace) {
			at.ended = true
			f.shards[at.shard].pending--
		}
	}
}

func (f *flight) gather(target topo.ShardSet) (Answer, error) {
	f.noteMissing()
	if f.answered > 0 && f.covered() {
		bodies := make([][]byte, 0, f.answered)
		proofs := make([]string, 0, f.answered)
		for i := range f.shards {
			if part := f.shards[i].part; part != nil {
				bodies = append(bodies, part.Body)
				proofs = append(proofs, part.Signature)
			}
		}
		if f.gathered != nil {
			bodies = append(bodies, f.gathered.Body)
			proofs = append(proofs, f.gathered.Signatures...)
		}
		return Merged{
			Signatures: proofs,
			Missing:    len(f.shards) - f.answered,
			Body:       merge(bodies, target.TopK),
		}, nil
	}
	if !f.mayHaveRun() {
		return nil, query.NotRun{
			Reason:     f.reason(),
			RetryAfter: overloadRetry,
		}
	}
	return nil, query.Partial{
		Coverage:    f.coverage(),
		MinCoverage: target.MinCoverage,
	}
}

// noteMissing notes the shards whose part is not in although their calls are in progress.
func (f *flight) noteMissing() {
	for i := range f.shards {
		if s := &f.shards[i]; !s.in && !s.closed {
			f.step(trace.Step{
				What:  "missing",
				Shard: s.service,
			})
		}
	}
}

func (f *flight) mayHaveRun() bool {
	for i := range f.shards {
		if f.shards[i].ran > 0 || f.shards[i].pending > 0 {
			return true
		}
	}
	return false
}

func (f *flight) reason() string {
	for i := range f.shards {
		if f.shards[i].reason != "" {
			return f.shards[i].reason
		}
	}
	return "no backend server available"
}

func (f *flight) coverage() query.Coverage {
	c := query.Coverage{
		Answered: f.answered,
		Total:    len(f.shards),
	}
	for i := range f.shards {
		if !f.shards[i].in {
			c.Missing = append(c.Missing, f.shards[i].service)
		}
	}
	return c
}
