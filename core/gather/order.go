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
	// forwardPause is the wait before a request is forwarded again after its usual writer was not reached.
	forwardPause = 50 * time.Millisecond
	// joinPause is the time between two looks at a request that is in progress elsewhere.
	joinPause = 100 * time.Millisecond
	// settleLimit bounds the wait for the record of an outcome.
	settleLimit = 10 * time.Second
	// replyGrace is the time after the deadline in which a home still reports what became of a sub-request.
	replyGrace = time.Second
	// writersRanked is the number of hosts that a request is forwarded to in turn.
	writersRanked = 3
)

// order runs a request that may not be repeated on the usual writer of its ledger partition.
// The writer is only the host that usually commits the partition; the store's version check keeps two writers apart.
func (g *Gatherer) order(ctx context.Context, req query.Request, kind config.Kind) (query.Answer, error) {
	open := false
	for try := 0; ; try++ {
		writer, ok := g.writer(req, try)
		if !ok || writer.ID == g.parts.Self.ID {
			return g.RunOnce(ctx, req, kind)
		}
		answer, err := g.parts.Forwarder.Forward(ctx, writer, req)
		var refusal query.Refusal
		if err == nil || errors.As(err, &refusal) {
			return answer, err
		}
		open = open || !errors.Is(err, ErrNotForwarded)
		if timer.Sleep(ctx, forwardPause) == nil {
			continue
		}
		if open {
			return query.Answer{}, query.OutcomeUnknown{
				Reason: "the host that runs the request did not answer; ask again with the same key",
			}
		}
		return query.Answer{}, query.NotRun{
			Reason:     "no host was reached that could record the request",
			RetryAfter: overloadRetry,
		}
	}
}

// writer returns the host that commits the request's partition, or the next one after failed tries.
func (g *Gatherer) writer(req query.Request, try int) (member.Member, bool) {
	key := ledger.PartitionKey(ledger.PartitionOf(ledger.EntryID(req.Caller, req.IdempotencyKey)))
	ranked := member.Rank(g.parts.Routes.Load().View.Available(), key, writersRanked)
	if len(ranked) == 0 {
		return member.Member{}, false
	}
	return ranked[try%len(ranked)], true
}

// RunForwarded runs a request that another host forwarded; the error is a query.Refusal.
func (g *Gatherer) RunForwarded(ctx context.Context, req query.Request) (query.Answer, error) {
	kind, err := g.check(req)
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
		Attempt:     req.ID + "@" + g.parts.Self.ID,
		Writer:      g.parts.Self.ID,
	}
	for {
		switch begun := g.parts.Ledger.Begin(ctx, entry).(type) {
		case ledger.Acquired:
			return g.dispatch(ctx, req, kind, entry)
		case ledger.Refused:
			return query.Answer{}, query.NotRun{
				Reason:     begun.Reason,
				RetryAfter: overloadRetry,
			}
		case ledger.KeyReused:
			return query.Answer{}, invalid("key", "key %q belongs to another request of %q", req.IdempotencyKey, req.Caller)
		case ledger.Duplicate:
			if begun.Entry.State != ledger.Sent {
				return recorded(begun.Entry)
			}
			if timer.Sleep(ctx, joinPause) != nil {
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
	type ending struct {
		answer query.Answer
		err    error
	}
	ended := make(chan ending, 1)
	g.parts.Tasks.Go(func() error {
		settled := g.sendOnce(ctx, req, kind, entry)
		answer, err := recorded(settled)
		ended <- ending{
			answer: answer,
			err:    err,
		}
		g.settle(settled)
		return nil
	})
	select {
	case e := <-ended:
		return e.answer, e.err
	case <-ctx.Done():
		return query.Answer{}, query.OutcomeUnknown{
			Reason: "the request is in progress; ask again with the same key",
		}
	}
}

// settle records an outcome. Without the record the entry says that the request may have run, so it never runs again.
func (g *Gatherer) settle(e ledger.Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), settleLimit)
	defer cancel()
	if err := g.parts.Ledger.Finish(ctx, e); err != nil {
		g.parts.Journal.Record("ledger", e.Key, "outcome not recorded", err.Error())
	}
}

// sendOnce sends the request to one server after the other until one has it, and returns the entry with its outcome.
// Another server is tried only when the one before is known not to have run the request.
func (g *Gatherer) sendOnce(ctx context.Context, req query.Request, kind config.Kind, entry ledger.Entry) ledger.Entry {
	record := &recorder{
		started: time.Now(),
	}
	defer func() {
		g.keepOrder(req, record, entry)
	}()
	snapshot, ok := g.snapshot(req.Collection)
	if !ok {
		entry = entry.WithOutcome(ledger.NotRun, 0, nil, "no snapshot of the collection is known")
		return entry
	}
	f := g.newFlight(context.WithoutCancel(ctx), req, kind, snapshot, record)
	f.until, _ = ctx.Deadline()
	result, reason := f.once()
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

// once sends the only sub-request of the flight and returns the first result that is not a refusal, or nil.
func (f *flight) once() (result query.Result, reason string) {
	reason = "no backend server available"
	for f.ctx.Err() == nil && time.Now().Before(f.until) {
		if f.shards[0].closed || !f.send(0, First) {
			return nil, reason
		}
		reply, ok := f.reply()
		if !ok {
			return query.Failed{
				Reason: "the home of the backend server did not answer",
			}, ""
		}
		a := &f.attempts[reply.Token]
		a.ended = true
		f.shards[0].pending--
		f.g.parts.Picker.Finished(a.server, f.kindName, time.Since(a.sent), reply.Result)
		switch r := reply.Result.(type) {
		case query.NotExecuted:
			f.learn(a.server, r.Feedback)
			reason = r.Reason
		case query.SnapshotAbsent:
			f.learn(a.server, r.Feedback)
			reason = "snapshot absent"
		default:
			return r, ""
		}
		f.record.step("refused", f.shards[0].shard.ID, a.server, reason)
	}
	return nil, reason
}

// reply waits for the result of a sub-request until a while after the deadline.
func (f *flight) reply() (r Completion, ok bool) {
	limit := time.NewTimer(time.Until(f.until) + replyGrace)
	defer limit.Stop()
	select {
	case r = <-f.inbox:
		return r, true
	case <-limit.C:
		return Completion{}, false
	}
}

func (g *Gatherer) keepOrder(req query.Request, record *recorder, entry ledger.Entry) {
	g.parts.Journal.RecordRequest(trace.Request{
		ID:         req.ID,
		Collection: req.Collection,
		Kind:       req.Kind,
		At:         record.started,
		Took:       time.Since(record.started),
		Outcome:    string(entry.State),
		Steps:      record.steps,
	})
}

// recorded returns what the caller of a recorded request is told.
func recorded(e ledger.Entry) (query.Answer, error) {
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
			RetryAfter: overloadRetry,
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
