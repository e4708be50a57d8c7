package gather

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"magnoliaworks/core/config"
	"magnoliaworks/core/ledger"
	"magnoliaworks/core/member"
	"magnoliaworks/core/query"
	"magnoliaworks/core/timer"
	"magnoliaworks/core/trace"
)

const (
	// forwardRetryDelay is the wait before a request is forwarded again after its usual writer was not reached.
	forwardRetryDelay = 50 * time.Millisecond
	// outcomePollPeriod is the time between two looks at a request that is in progress elsewhere.
	outcomePollPeriod = 100 * time.Millisecond
	// recordOutcomeTimeout bounds the wait for the record of an outcome.
	recordOutcomeTimeout = 10 * time.Second
	// completionGrace is the time after the deadline in which a home still reports what became of a sub-request.
	completionGrace = time.Second
	// writerCandidates is the number of hosts that a request is forwarded to in turn.
	writerCandidates = 3
)

// runNonIdempotent runs a request that may not be repeated on the usual writer of its ledger partition.
// The writer is only the host that usually commits the partition; the store's version check keeps two writers apart.
func (g *Gatherer) runNonIdempotent(ctx context.Context, req query.Request, kind config.Kind) (query.Answer, error) {
	mayHaveRun := false
	for try := 0; ; try++ {
		writer, ok := g.writer(req, try)
		if !ok || writer.ID == g.options.Self.ID {
			return g.RunOnce(ctx, req, kind)
		}
		answer, err := g.options.Forwarder.Forward(ctx, writer, req)
		var refusal query.Refusal
		if err == nil || errors.As(err, &refusal) {
			return answer, err
		}
		mayHaveRun = mayHaveRun || !errors.Is(err, ErrNotForwarded)
		if timer.Sleep(ctx, forwardRetryDelay) == nil {
			continue
		}
		if mayHaveRun {
			return query.Answer{}, query.OutcomeUnknown{
				Reason: "the host that runs the request did not answer; ask again with the same key",
			}
		}
		return query.Answer{}, query.NotRun{
			Reason:     "no host was reached that could record the request",
			RetryAfter: overloadRetryAfter,
		}
	}
}

// writer returns the host that commits the request's partition, or the next one after failed tries.
func (g *Gatherer) writer(req query.Request, try int) (member.Member, bool) {
	key := ledger.PartitionKey(ledger.PartitionOf(ledger.EntryID(req.Caller, req.IdempotencyKey)))
	ranked := member.Rank(g.options.Routes.Load().View.Available(), key, writerCandidates)
	if len(ranked) == 0 {
		return member.Member{}, false
	}
	return ranked[try%len(ranked)], true
}

// RunForwarded runs a request that another host forwarded; the error is a query.Refusal.
func (g *Gatherer) RunForwarded(ctx context.Context, req query.Request) (query.Answer, error) {
	kind, err := g.validate(req)
	if err != nil {
		return query.Answer{}, err
	}
	return g.RunOnce(ctx, req, kind)
}

// RunOnce records the request, sends it once and records its outcome.
// When ctx ends first the caller learns that the outcome is open, and the rest goes on without the caller.
func (g *Gatherer) RunOnce(ctx context.Context, req query.Request, kind config.Kind) (query.Answer, error) {
	entry := ledger.Entry{
		Caller:      req.Caller,
		Key:         req.IdempotencyKey,
		ContentHash: contentHash(req),
		Attempt:     req.ID + "@" + g.options.Self.ID,
		Writer:      g.options.Self.ID,
	}
	for {
		switch result := g.options.Ledger.Begin(ctx, entry).(type) {
		case ledger.Acquired:
			return g.dispatch(ctx, req, kind, entry)
		case ledger.Refused:
			return query.Answer{}, query.NotRun{
				Reason:     result.Reason,
				RetryAfter: overloadRetryAfter,
			}
		case ledger.KeyReused:
			return query.Answer{}, invalid("key", "key %q belongs to another request of %q", req.IdempotencyKey, req.Caller)
		case ledger.Duplicate:
			if result.Entry.State != ledger.Sent {
				return answerOf(result.Entry)
			}
			if timer.Sleep(ctx, outcomePollPeriod) != nil {
				return query.Answer{}, query.OutcomeUnknown{
					Reason: "the request is in progress or its host was lost; ask again with the same key",
				}
			}
		}
	}
}

// dispatch sends a recorded request in a task that outlives the caller's wait.
// The caller learns the outcome as soon as it is known; the record of it follows.
func (g *Gatherer) dispatch(ctx context.Context, req query.Request, kind config.Kind, entry ledger.Entry) (query.Answer, error) {
	type outcome struct {
		answer query.Answer
		err    error
	}
	outcomes := make(chan outcome, 1)
	g.options.Tasks.Go(func() error {
		finished := g.executeOnce(ctx, req, kind, entry)
		answer, err := answerOf(finished)
		outcomes <- outcome{
			answer: answer,
			err:    err,
		}
		g.recordOutcome(finished)
		return nil
	})
	select {
	case e := <-outcomes:
		return e.answer, e.err
	case <-ctx.Done():
		return query.Answer{}, query.OutcomeUnknown{
			Reason: "the request is in progress; ask again with the same key",
		}
	}
}

// recordOutcome records an outcome. Without the record the entry says that the request may have run, so it never runs again.
func (g *Gatherer) recordOutcome(e ledger.Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), recordOutcomeTimeout)
	defer cancel()
	if err := g.options.Ledger.Finish(ctx, e); err != nil {
		g.options.Journal.Record("ledger", e.Key, "outcome not recorded", err.Error())
	}
}

// executeOnce sends the request to one server after the other until one has it, and returns the entry with its outcome.
// Another server is tried only when the one before is known not to have run the request.
func (g *Gatherer) executeOnce(ctx context.Context, req query.Request, kind config.Kind, entry ledger.Entry) ledger.Entry {
	record := &recorder{
		started: time.Now(),
	}
	defer func() {
		g.traceNonIdempotent(req, record, entry)
	}()
	snapshot, ok := g.chooseSnapshot(req.Collection)
	if !ok {
		entry = entry.WithOutcome(ledger.NotRun, 0, nil, "no snapshot of the collection is known")
		return entry
	}
	e := g.newExecution(context.WithoutCancel(ctx), req, kind, snapshot, record)
	e.deadline, _ = ctx.Deadline()
	result, reason := e.sendUntilAccepted()
	switch r := result.(type) {
	case query.Done:
		entry = entry.WithOutcome(ledger.Done, r.Snapshot, r.Hits, "")
	case query.Failed:
		entry = entry.WithOutcome(ledger.Unknown, 0, nil, r.Reason)
	default:
		entry = entry.WithOutcome(ledger.NotRun, 0, nil, reason)
	}
	return entry
}

// sendUntilAccepted sends the only sub-request of the flight and returns the first result that is not a refusal, or nil.
func (e *execution) sendUntilAccepted() (result query.Result, reason string) {
	reason = "no backend server available"
	for e.ctx.Err() == nil && time.Now().Before(e.deadline) {
		if e.shards[0].resolved || !e.send(0, First) {
			return nil, reason
		}
		completion, ok := e.awaitCompletion()
		if !ok {
			return query.Failed{
				Reason: "the home of the backend server did not answer",
			}, ""
		}
		a := &e.attempts[completion.Token]
		a.ended = true
		e.shards[0].pending--
		e.gatherer.options.Picker.Finished(a.server, e.kindName, time.Since(a.sent), completion.Result)
		switch r := completion.Result.(type) {
		case query.NotExecuted:
			e.observeSnapshots(a.server, r.Feedback)
			reason = r.Reason
		case query.SnapshotAbsent:
			e.observeSnapshots(a.server, r.Feedback)
			reason = "snapshot absent"
		default:
			return r, ""
		}
		e.record.step("refused", e.shards[0].shard.ID, a.server, reason)
	}
	return nil, reason
}

// awaitCompletion waits for the result of a sub-request until a while after the deadline.
func (e *execution) awaitCompletion() (completion Completion, ok bool) {
	limit := time.NewTimer(time.Until(e.deadline) + completionGrace)
	defer limit.Stop()
	select {
	case completion = <-e.completions:
		return completion, true
	case <-limit.C:
		return Completion{}, false
	}
}

func (g *Gatherer) traceNonIdempotent(req query.Request, record *recorder, entry ledger.Entry) {
	g.options.Journal.Keep(trace.Query{
		ID:         req.ID,
		Collection: req.Collection,
		Kind:       req.Kind,
		At:         record.started,
		Took:       time.Since(record.started),
		Outcome:    string(entry.State),
		Steps:      record.steps,
	})
}

// answerOf returns what the caller of a answerOf request is told.
func answerOf(e ledger.Entry) (query.Answer, error) {
	switch e.State {
	case ledger.Done:
		return query.Answer{
			Snapshot: e.Snapshot,
			Coverage: query.Coverage{
				Answered: 1,
				Total:    1,
			},
			Hits: e.Hits,
		}, nil
	case ledger.NotRun:
		return query.Answer{}, query.NotRun{
			Reason:     e.Reason,
			RetryAfter: overloadRetryAfter,
		}
	default:
		return query.Answer{}, query.OutcomeUnknown{
			Reason: e.Reason,
		}
	}
}

func contentHash(req query.Request) uint64 {
	return xxhash.Sum64String(req.Collection + "\x00" + req.Kind + "\x00" + req.Text)
}
