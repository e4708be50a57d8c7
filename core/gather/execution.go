package gather

import (
	"context"
	"time"

	"magnoliaworks/core/config"
	"magnoliaworks/core/index"
	"magnoliaworks/core/query"
	"magnoliaworks/core/route"
)

const (
	// maxSubRequestsPerShard bounds the sub-requests for one shard in one execution, including retries, hedges, mirrors
	// and those that were not executed.
	maxSubRequestsPerShard = 4
	// answerMargin is the time before the deadline at which a search stops waiting and answers with the results it has.
	answerMargin = 5 * time.Millisecond
)

// execution is one run of a request on one snapshot. It belongs to one goroutine.
type execution struct {
	gatherer *Gatherer
	ctx      context.Context
	req      query.Request
	kind     config.Kind
	// kindName identifies the kind across collections, as "collection/kind".
	kindName    string
	snapshot    index.Snapshot
	deadline    time.Time
	table       *route.Table
	shards      []shardState
	attempts    []attempt
	completions chan Completion
	recorder    *traceRecorder
	// unresolved is the number of shards that are not resolved.
	unresolved int
	// possiblyRun is set once a result shows that a sub-request has run or may have run.
	possiblyRun bool
	// snapshotLost is set when a server lacks the snapshot and no other replica of its shard is left to try,
	// or the shard has had maxSubRequestsPerShard sub-requests.
	snapshotLost bool
}

// shardState is the progress of one shard.
type shardState struct {
	shard index.Shard
	// tried holds the IDs of the servers that were sent the sub-request.
	tried []string
	// pending is the number of sub-requests without a result.
	pending int
	// resolved is set when the shard has its result or was given up.
	resolved bool
	// complete is set when the result covers the whole shard.
	complete bool
	hits     []query.Hit
}

// attempt is one sub-request for a shard. Its index in execution.attempts is its token.
type attempt struct {
	shard  int
	server string
	reason Reason
	sentAt time.Time
	// ended is set when the result arrived or the attempt was cancelled.
	ended  bool
	cancel func()
}

// newExecution returns an execution that has not sent anything yet. Its deadline is that of ctx, or zero if ctx has none.
func (g *Gatherer) newExecution(ctx context.Context, req query.Request, kind config.Kind, snapshot index.Snapshot, recorder *traceRecorder) *execution {
	shards := targetShards(req, kind, snapshot)
	deadline, _ := ctx.Deadline()
	e := &execution{
		gatherer:    g,
		ctx:         ctx,
		req:         req,
		kind:        kind,
		kindName:    req.Collection + "/" + req.Kind,
		snapshot:    snapshot,
		deadline:    deadline,
		table:       g.options.Routes.Load(),
		shards:      make([]shardState, len(shards)),
		attempts:    make([]attempt, 0, len(shards)+len(shards)/4+1),
		completions: make(chan Completion, len(shards)*maxSubRequestsPerShard),
		recorder:    recorder,
		unresolved:  len(shards),
	}
	for i, shard := range shards {
		e.shards[i].shard = shard
	}
	return e
}

// run sends the sub-requests and collects their results until each shard is resolved, the snapshot is lost or time is up.
func (e *execution) run() (query.Answer, error) {
	defer e.cancelAll()
	e.gatherer.options.HedgeBudget.Earn(len(e.shards))
	e.gatherer.options.RetryBudget.Earn(len(e.shards))
	e.gatherer.options.Picker.Earn(len(e.shards))
	for i := range e.shards {
		e.send(i, ReasonFirst)
		e.sendMirror(i)
	}
	estimator := e.gatherer.hedgeDelayEstimator(e.req.Collection, e.req.Kind)
	hedgeTimer := time.NewTimer(estimator.Value())
	defer hedgeTimer.Stop()
	deadlineTimer := time.NewTimer(time.Until(e.deadline) - answerMargin)
	defer deadlineTimer.Stop()
	for e.unresolved > 0 && !e.snapshotLost {
		select {
		case completion := <-e.completions:
			e.handleCompletion(completion)
		case <-hedgeTimer.C:
			e.sendHedges()
		case <-deadlineTimer.C:
			return e.finish()
		case <-e.ctx.Done():
			return e.finish()
		}
	}
	return e.finish()
}

// send sends the sub-request of shard i to the best server that was not tried.
// When there is none, or the shard has had maxSubRequestsPerShard sub-requests, it gives the shard up and returns false.
func (e *execution) send(i int, reason Reason) bool {
	s := &e.shards[i]
	if len(s.tried) == maxSubRequestsPerShard {
		e.giveUp(i)
		return false
	}
	server, ok := e.gatherer.options.Picker.Pick(e.candidates(s))
	if !ok {
		e.giveUp(i)
		return false
	}
	e.sendTo(i, server, reason)
	return true
}

// sendTo sends the sub-request of shard i to the server and records the attempt.
func (e *execution) sendTo(i int, server route.Server, reason Reason) {
	s := &e.shards[i]
	s.tried = append(s.tried, server.ID)
	s.pending++
	home, _ := server.Home()
	token := len(e.attempts)
	e.attempts = append(e.attempts, attempt{
		shard:  i,
		server: server.ID,
		reason: reason,
		sentAt: time.Now(),
	})
	e.gatherer.options.Picker.Started(server.ID, e.kindName)
	e.gatherer.options.Meter.CountSubRequest(reason, server.DataCentre != e.gatherer.options.Self.DataCentre)
	if reason != ReasonFirst {
		e.recorder.step(string(reason), s.shard.ID, server.ID, "")
	}
	e.attempts[token].cancel = e.gatherer.options.Sender.Send(home, e.newSubRequest(s, server, token), token, e.completions)
}

// newSubRequest returns the sub-request of one attempt. It has an idempotency key only if its kind must not run twice.
func (e *execution) newSubRequest(s *shardState, server route.Server, token int) query.SubRequest {
	key := ""
	if e.kind.Idempotence == config.Once {
		key = e.req.Caller + "/" + e.req.IdempotencyKey
	}
	return query.SubRequest{
		IdempotencyKey: key,
		RequestID:      e.req.ID,
		Attempt:        uint32(token),
		Server:         server.ID,
		Shard:          s.shard.ID,
		Snapshot:       e.snapshot.Version,
		Collection:     e.req.Collection,
		Kind:           e.req.Kind,
		Text:           e.req.Text,
		Limit:          e.req.Limit,
		Priority:       e.kind.Priority,
		Deadline:       e.deadline,
	}
}

// candidates returns the replicas of a shard. Those that may hold the snapshot are eligible.
func (e *execution) candidates(s *shardState) route.Candidates {
	return route.Candidates{
		Kind:    e.kindName,
		Servers: e.table.Replicas(e.req.Collection, s.shard.Service),
		Tried:   s.tried,
		Eligible: func(server string) bool {
			return e.gatherer.options.Snapshots.MayHold(server, e.snapshot.Version)
		},
	}
}

// sendMirror sends the sub-request of shard i also to a server that was avoided for its slowness,
// to learn whether it is fast again. Mirrors draw on the hedge budget.
func (e *execution) sendMirror(i int) {
	s := &e.shards[i]
	if e.kind.Hedging != config.HedgingOn || len(s.tried) == 0 {
		return
	}
	server, ok := e.gatherer.options.Picker.PickMirror(e.candidates(s), s.tried[0])
	if ok && e.gatherer.options.HedgeBudget.Spend() {
		e.sendTo(i, server, ReasonMirror)
	}
}

// sendHedges sends a further sub-request for each unresolved shard that has just one in progress, within the hedge budget,
// unless the kind or the policy excludes hedges.
func (e *execution) sendHedges() {
	if e.kind.Hedging != config.HedgingOn || e.gatherer.options.Policy == route.PolicyNaive {
		return
	}
	for i := range e.shards {
		s := &e.shards[i]
		if s.resolved || s.pending != 1 || len(s.tried) == maxSubRequestsPerShard {
			continue
		}
		server, ok := e.gatherer.options.Picker.Pick(e.candidates(s))
		if !ok {
			continue
		}
		if !e.gatherer.options.HedgeBudget.Spend() {
			return
		}
		e.sendTo(i, server, ReasonHedge)
	}
}

// giveUp resolves shard i without a result, unless a sub-request for it is in progress.
func (e *execution) giveUp(i int) {
	s := &e.shards[i]
	if s.resolved || s.pending > 0 {
		return
	}
	s.resolved = true
	e.unresolved--
	e.recorder.step("gave up", s.shard.ID, "", "no further sub-request is sent")
}
