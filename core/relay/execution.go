package relay

import (
	"time"

	"magnoliaworks/core/fair"
	"magnoliaworks/core/query"
	"magnoliaworks/core/shed"
	"magnoliaworks/core/topo"
	"magnoliaworks/core/trace"
)

const (
	// maxCallsPerShard bounds the calls for one shard, including those that were not executed.
	maxCallsPerShard = 8
	// hedgeFactor is the multiple of the route's median latency after which a call is hedged; minHedgeDelay is the least delay,
	// and the time between two tries while no server or no retry budget is available for the hedge.
	hedgeFactor   = 2
	minHedgeDelay = 10 * time.Millisecond
	// hedgeDivisor limits the hedge delay to a quarter of the latency objective, so that the reply to the hedge comes within it,
	// or to 5/4 of the median latency if that is longer.
	hedgeDivisor = 4
	// remoteLatency is the additional time of a call to another data centre.
	remoteLatency = 8 * time.Millisecond
	// deadlineMargin is the time before the end of the timeout at which the answer is written; at most a tenth of the timeout.
	deadlineMargin = 5 * time.Millisecond
	// disconnectWatchDelay is the age of a message from which its caller's connection is watched for a disconnect.
	disconnectWatchDelay = 100 * time.Millisecond
	// disconnectGrace is the time that calls in progress get to finish after their caller has disconnected,
	// before their connections are closed.
	disconnectGrace = 150 * time.Millisecond
	// cancelGrace is the time for which the connection of a cancelled call, such as the loser against a hedge, waits for the reply
	// before it is closed.
	cancelGrace = 400 * time.Millisecond
	// overloadRetryAfter is the least advised delay before a retry of a message that was refused because of load.
	overloadRetryAfter = 150 * time.Millisecond
)

// Reasons for calls, as they appear in metrics and traces.
const (
	reasonFirst     = "first"
	reasonRetry     = "retry"
	reasonHedge     = "hedge"
	reasonMirror    = "mirror"
	reasonDelegated = "delegated"
)

// execution is the state of one message in progress. It is owned by the goroutine that runs it.
type execution struct {
	relay   *Relay
	caller  Caller
	message *query.Message
	route   *topo.Route
	// deadline is the time by which the answer is built, shortly before the caller's or the route's timeout ends.
	// From partialAfter on, a search is answered as soon as it has its minimum coverage.
	deadline     time.Time
	partialAfter time.Time
	// waiting are the shards whose calls are repeated if that finishes the search.
	waiting []int
	// ownMedian is the time after which half of the shards had replied; 0 before.
	ownMedian time.Duration
	// collectedAt is the time from which the answer is built.
	collectedAt time.Time
	shards      []shard
	attempts    []attempt
	completions chan completion
	// unresolved counts the shards that are not resolved, and answered those that have a reply.
	unresolved int
	answered   int
	// disconnected is closed when the caller disconnects; it is nil until the caller is watched.
	disconnected <-chan struct{}
	// aborted is set once the caller has disconnected.
	aborted bool
	steps   []trace.Step
	// configVersion is the version of the configuration that the route belongs to.
	configVersion uint64
	// claim is what the message asks for under load, and routePriority the route's own priority; both are the zero value without
	// client accounts.
	claim         fair.Claim
	routePriority int
	// forPeer is set when this host gathers some shards of a set for another host; setSize is the size of the whole set.
	forPeer bool
	setSize int
	// delegations are what other hosts gather for this execution; their results arrive on delegationResults, which is nil if
	// there are none.
	delegations       []*delegation
	delegationResults chan delegationResult
}

// newExecution returns the state of a message for the matched route, with one shard for each of the services.
// It sets OmitHeader of the message if the replies are merged, and limits its Standstill to half of the time that is left.
func (r *Relay) newExecution(caller Caller, m *query.Message, matched *topo.Route, services []string) *execution {
	timeout := m.Timeout
	if matched.Timeout > 0 {
		timeout = min(timeout, matched.Timeout)
	}
	// The message may also have arrived at the end of the standstill. When a search is answered in part doesn't depend on it.
	m.Standstill = min(m.Standstill, max(timeout-m.Elapsed, 0)/2)
	e := &execution{
		relay:       r,
		caller:      caller,
		message:     m,
		route:       matched,
		deadline:    m.At(timeout - m.Standstill - min(deadlineMargin, timeout/10)),
		shards:      make([]shard, len(services)),
		attempts:    make([]attempt, 0, len(services)+len(services)/2+2),
		steps:       make([]trace.Step, 0, len(services)+len(services)/2+2),
		completions: make(chan completion, len(services)*maxCallsPerShard),
		unresolved:  len(services),
		setSize:     len(services),
	}
	e.partialAfter = e.deadline
	_, m.OmitHeader = matched.Target.(topo.ShardSet)
	if m.OmitHeader && matched.LatencyObjective > 0 {
		e.partialAfter = m.At(shed.PartialAfter(matched.LatencyObjective, m.Way, r.expectedDelay(matched, len(services))))
	}
	for i, service := range services {
		e.shards[i].service = service
	}
	return e
}

// run executes the message and returns its answer.
func (e *execution) run() (Answer, error) {
	if err := e.checkReachable(); err != nil {
		return nil, err
	}
	if err := e.checkAdmitted(); err != nil {
		return nil, err
	}
	defer e.cancelCalls()
	e.collect()
	e.collectedAt = time.Now()
	e.recordAdmission(e.collectedAt)
	return e.buildAnswer()
}

// collect sends the calls and handles their results until every shard is resolved, the minimum coverage is reached
// after partialAfter, it can't be reached any more, the caller disconnects or the deadline passes.
func (e *execution) collect() {
	defer e.endDelegations()
	now := time.Now()
	e.relay.options.Picker.Earn(len(e.shards))
	e.delegate(now)
	for i := range e.shards {
		if !e.shards[i].delegated {
			e.sendFirst(i, now)
		}
	}
	// A message that has waited is due at once; that is no delay of the timer.
	wakeAt := latest(e.nextWake(), time.Now())
	wakeTimer := time.NewTimer(time.Until(wakeAt))
	defer wakeTimer.Stop()
	for e.unresolved > 0 && !e.aborted && !e.partialDue() && !e.hopeless() {
		select {
		case c := <-e.completions:
			e.handleCompletion(c)
			e.repeatWaiting()
			if e.advanceHedges(time.Now()) {
				wakeAt = latest(e.nextWake(), time.Now())
				wakeTimer.Reset(time.Until(wakeAt))
			}
		case r := <-e.delegationResults:
			e.handleDelegation(r)
			e.repeatWaiting()
		case <-e.disconnected:
			e.aborted = true
		case <-wakeTimer.C:
			now := time.Now()
			e.relay.wakeDelay.Observe(now.Sub(wakeAt))
			if !now.Before(e.deadline) {
				return
			}
			e.watchCaller(now)
			e.checkOverdue(now)
			e.hedge(now)
			wakeAt = latest(e.nextWake(), now.Add(time.Millisecond))
			wakeTimer.Reset(time.Until(wakeAt))
		}
	}
}

// sendFirst sends the first call for a shard, and mirrors it if a slow server is due for a trial.
func (e *execution) sendFirst(i int, now time.Time) {
	e.relay.retryState(e.shards[i].service).budget.RecordOrdinary(now)
	if e.send(i, reasonFirst) {
		e.mirror(i, now)
	}
}

// latest returns the later one of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// nextWake returns the time at which collect has to act if no result comes before.
func (e *execution) nextWake() time.Time {
	now := time.Now()
	next := e.deadline
	if e.partialAfter.After(now) && e.partialAfter.Before(next) {
		next = e.partialAfter
	}
	if watch := e.message.Arrived.Add(disconnectWatchDelay); e.disconnected == nil && watch.Before(next) {
		next = watch
	}
	for i := range e.shards {
		s := &e.shards[i]
		if !s.resolved && s.hedgeAt.After(now) && s.hedgeAt.Before(next) {
			next = s.hedgeAt
		}
	}
	return next
}

// watchCaller starts to watch the caller for a disconnect once the message is older than disconnectWatchDelay.
func (e *execution) watchCaller(now time.Time) {
	if e.disconnected == nil && !now.Before(e.message.Arrived.Add(disconnectWatchDelay)) {
		e.disconnected = e.caller.Disconnected()
	}
}

// step adds a step to the trace of the message.
func (e *execution) step(s trace.Step) {
	s.After = time.Since(e.message.Arrived)
	e.steps = append(e.steps, s)
}
