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
	// forwardRetryDelay is the wait before a request is forwarded to the next host after a failure.
	forwardRetryDelay = 50 * time.Millisecond
	// outcomePollPeriod is the time between two reads of the ledger entry of a request that was recorded earlier under the
	// same key and has no outcome yet.
	outcomePollPeriod = 100 * time.Millisecond
	// recordOutcomeTimeout bounds the wait until an outcome is recorded.
	recordOutcomeTimeout = 10 * time.Second
	// completionGrace is the time after the deadline for which a home host may still report the result of a sub-request.
	completionGrace = time.Second
	// writerCandidates is the number of hosts that a request is forwarded to in turn.
	writerCandidates = 3
)

// runNonIdempotent runs a request that must not run twice on the usual writer of its ledger partition.
// That host is only the preferred one: the store's version check makes sure that one writer at most runs the request.
func (g *Gatherer) runNonIdempotent(ctx context.Context, req query.Request, kind config.Kind) (query.Answer, error) {
	mayHaveRun := false
	for failures := 0; ; failures++ {
		writer, ok := g.writer(req, failures)
		if !ok || writer.ID == g.options.Self.ID {
			answer, err := g.RunOnce(ctx, req, kind)
			return answer, afterForward(err, mayHaveRun)
		}
		answer, err := g.options.Forwarder.Forward(ctx, writer, req)
		var refusal query.Refusal
		if err == nil || errors.As(err, &refusal) {
			return answer, afterForward(err, mayHaveRun)
		}
		mayHaveRun = mayHaveRun || !errors.Is(err, ErrNotForwarded)
		if timer.Sleep(ctx, forwardRetryDelay) == nil {
			continue
		}
		if mayHaveRun {
			return query.Answer{}, query.OutcomeUnknown{
				Reason: "the host that runs the request did not answer; retry with the same key",
			}
		}
		return query.Answer{}, query.NotRun{
			Reason:     "no host was reached that could record the request",
			RetryAfter: retryAfter,
		}
	}
}

// afterForward returns the outcome that a host states, or query.OutcomeUnknown if the host has not run the request but an
// earlier one may have.
func afterForward(err error, mayHaveRun bool) error {
	var notRun query.NotRun
	if !mayHaveRun || !errors.As(err, &notRun) {
		return err
	}
	return query.OutcomeUnknown{
		Reason: "the first host that got the request did not answer, the next one has not run it (" + notRun.Reason + "); retry with the same key",
	}
}

// writer returns the usual writer of the request's ledger partition, or after failures the next host in its ranking.
func (g *Gatherer) writer(req query.Request, failures int) (member.Member, bool) {
	key := ledger.PartitionKey(ledger.PartitionOf(ledger.EntryID(req.Caller, req.IdempotencyKey)))
	ranked := member.Rank(g.options.Routes.Load().View.Available(), key, writerCandidates)
	if len(ranked) == 0 {
		return member.Member{}, false
	}
	return ranked[failures%len(ranked)], true
}

// RunForwarded runs a non-idempotent request that another host forwarded. The error is a query.Refusal.
func (g *Gatherer) RunForwarded(ctx context.Context, req query.Request) (query.Answer, error) {
	kind, err := g.validate(req)
	if err != nil {
		return query.Answer{}, err
	}
	return g.RunOnce(ctx, req, kind)
}

// RunOnce records the request in the ledger, sends it and records its outcome, so that it runs at most once.
// A request with a recorded outcome is answered from the ledger. The error is a query.Refusal; it is query.OutcomeUnknown
// when ctx ends first, and the request then continues in the background.
func (g *Gatherer) RunOnce(ctx context.Context, req query.Request, kind config.Kind) (query.Answer, error) {
	entry := ledger.Entry{
		Caller:         req.Caller,
		IdempotencyKey: req.IdempotencyKey,
		ContentHash:    contentHash(req),
		Attempt:        req.ID + "@" + g.options.Self.ID,
		Writer:         g.options.Self.ID,
	}
	for {
		switch result := g.options.Ledger.Begin(ctx, entry).(type) {
		case ledger.Acquired:
			return g.dispatch(ctx, req, kind, entry)
		case ledger.Refused:
			return query.Answer{}, query.NotRun{
				Reason:     result.Reason,
				RetryAfter: retryAfter,
			}
		case ledger.KeyReused:
			return query.Answer{}, invalid("key", "key %q belongs to another request of %q", req.IdempotencyKey, req.Caller)
		case ledger.Duplicate:
			if result.Entry.State != ledger.Sent {
				return answerOf(result.Entry)
			}
			if timer.Sleep(ctx, outcomePollPeriod) != nil {
				return query.Answer{}, query.OutcomeUnknown{
					Reason: "the request is in progress or its host was lost; retry with the same key",
				}
			}
		}
	}
}

// dispatch runs a recorded request in a goroutine that may outlive the caller's wait.
// The outcome is returned as soon as it is known, before it is recorded.
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
	case result := <-outcomes:
		return result.answer, result.err
	case <-ctx.Done():
		return query.Answer{}, query.OutcomeUnknown{
			Reason: "the request is in progress; retry with the same key",
		}
	}
}

// recordOutcome records an outcome in the ledger. If that fails, the entry still says that the request may have run,
// so it never runs again.
func (g *Gatherer) recordOutcome(entry ledger.Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), recordOutcomeTimeout)
	defer cancel()
	if err := g.options.Ledger.Finish(ctx, entry); err != nil {
		g.options.Journal.Record("ledger", entry.IdempotencyKey, "outcome not recorded", err.Error())
	}
}

// executeOnce sends the request to one server after another until one accepts it, and returns the entry with its outcome.
// The next server is tried only when the previous one has certainly not run the request.
func (g *Gatherer) executeOnce(ctx context.Context, req query.Request, kind config.Kind, entry ledger.Entry) ledger.Entry {
	recorder := &traceRecorder{
		started: time.Now(),
	}
	defer func() {
		g.traceNonIdempotent(req, recorder, entry)
	}()
	snapshot, ok := g.chooseSnapshot(req.Collection)
	if !ok {
		entry = entry.WithOutcome(ledger.NotRun, 0, nil, "no snapshot of the collection is known")
		return entry
	}
	e := g.newExecution(context.WithoutCancel(ctx), req, kind, snapshot, recorder)
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

// sendUntilAccepted sends the only sub-request of the execution to one server after another.
// It returns the first result other than NotExecuted and SnapshotAbsent, or query.Failed when no result arrives.
// When no server is left or time is up, it returns nil and the last reason.
func (e *execution) sendUntilAccepted() (result query.Result, reason string) {
	reason = "no backend server available"
	for e.ctx.Err() == nil && time.Now().Before(e.deadline) {
		if e.shards[0].resolved || !e.send(0, ReasonFirst) {
			return nil, reason
		}
		completion, ok := e.awaitCompletion()
		if !ok {
			e.cancelAttempt(len(e.attempts)-1, false)
			return query.Failed{
				Reason: "the home host of the backend server did not answer",
			}, ""
		}
		a := &e.attempts[completion.Token]
		a.ended = true
		e.shards[0].pending--
		e.gatherer.options.Picker.Finished(a.server, e.kindName, time.Since(a.sentAt), completion.Result)
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
		e.recorder.step("refused", e.shards[0].shard.ID, a.server, reason)
	}
	return nil, reason
}

// awaitCompletion waits for the result of a sub-request until completionGrace after the deadline; ok is false without one.
func (e *execution) awaitCompletion() (completion Completion, ok bool) {
	timeout := time.NewTimer(time.Until(e.deadline) + completionGrace)
	defer timeout.Stop()
	select {
	case completion = <-e.completions:
		return completion, true
	case <-timeout.C:
		return Completion{}, false
	}
}

// traceNonIdempotent adds the trace of a non-idempotent request to the journal.
func (g *Gatherer) traceNonIdempotent(req query.Request, recorder *traceRecorder, entry ledger.Entry) {
	g.options.Journal.RecordRequest(trace.Request{
		ID:         req.ID,
		Collection: req.Collection,
		Kind:       req.Kind,
		At:         recorder.started,
		Took:       time.Since(recorder.started),
		Outcome:    string(entry.State),
		Steps:      recorder.steps,
	})
}

// answerOf returns the answer or the query.Refusal for the caller of a request from its ledger entry with the outcome.
func answerOf(entry ledger.Entry) (query.Answer, error) {
	switch entry.State {
	case ledger.Done:
		return query.Answer{
			Snapshot: entry.Snapshot,
			Coverage: query.Coverage{
				Answered: 1,
				Total:    1,
			},
			Hits: entry.Hits,
		}, nil
	case ledger.NotRun:
		return query.Answer{}, query.NotRun{
			Reason:     entry.Reason,
			RetryAfter: retryAfter,
		}
	default:
		return query.Answer{}, query.OutcomeUnknown{
			Reason: entry.Reason,
		}
	}
}

// contentHash returns a hash of the request's content, by which the ledger detects a key that is used for another request.
func contentHash(req query.Request) uint64 {
	return xxhash.Sum64String(req.Collection + "\x00" + req.Kind + "\x00" + req.Text)
}
