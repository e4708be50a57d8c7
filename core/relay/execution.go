package relay

import (
	"time"

	"magnoliaworks/core/pool"
	"magnoliaworks/core/query"
	"magnoliaworks/core/route"
	"magnoliaworks/core/topo"
	"magnoliaworks/core/trace"
)

const (
	// maxCallsPerShard bounds the calls for one shard, those included that did not run.
	maxCallsPerShard = 5
	// hedgeFactor is the multiple of the expected time after which a call is repeated, and hedgeMinimum the least such time.
	hedgeFactor   = 2
	minHedgeDelay = 10 * time.Millisecond
	// hedgeDivisor divides the objective for the latest time of a repeat, so that its own reply comes within it.
	hedgeDivisor = 4
	// remoteLatency is the time that a call to another data centre takes beyond one in this.
	remoteLatency = 8 * time.Millisecond
	// objectiveMargin and objectiveShare are the time before the objective at which a search is answered as it is:
	// the way to the caller and back, and a part of the objective for merging and writing on a busy host.
	objectiveMargin      = 8 * time.Millisecond
	objectiveMarginShare = 0.05
	// deadlineMargin is the time before the end of the caller's wait at which the answer is written.
	deadlineMargin = 5 * time.Millisecond
	// disconnectWatchDelay is the time after which a host begins to look whether the caller has left.
	disconnectWatchDelay = 100 * time.Millisecond
	// disconnectGrace is the time for which calls of a caller that has left may still end by themselves.
	disconnectGrace = 150 * time.Millisecond
	// cancelGrace is the time for which a call that lost against a hedge keeps its connection.
	cancelGrace = 400 * time.Millisecond
	// overloadRetryAfter is the advised wait of callers that were refused for load, unreadyRetry that of those that were refused for
	// what the host does not know yet: it lasts for seconds, and callers wait no longer than their time permits.
	overloadRetryAfter = 150 * time.Millisecond
	unreadyRetryAfter  = time.Second
)

// Reasons for calls.
const (
	reasonFirst     = "first"
	reasonRetry     = "retry"
	reasonHedge     = "hedge"
	reasonMirror    = "mirror"
	reasonDelegated = "delegated"
)

// execution is one message on its way. One task owns it.
type execution struct {
	relay   *Relay
	caller  Caller
	message *query.Message
	route   *topo.Route
	// deadline is the end of the wait; answerBy the time from which a search with its least coverage is answered.
	deadline     time.Time
	partialAfter time.Time
	shards       []shard
	attempts     []attempt
	completions  chan completion
	// unresolved counts the shards that have neither a part nor been given up; answered those that have a part.
	unresolved   int
	answered     int
	disconnected <-chan struct{}
	aborted      bool
	steps        []trace.Step
	// configVersion is the configVersion of the configuration that the route is of.
	configVersion uint64
	// forPeer is set when the flight gathers a part of a shard set for another host.
	forPeer bool
	// delegation is what another host gathers for this flight, gathered what it has brought.
	delegation *delegation
	peerResult *GatherResult
}

func (r *Relay) newExecution(caller Caller, m *query.Message, matched *topo.Route, services []string) *execution {
	wait := m.Timeout
	if matched.Timeout > 0 {
		wait = min(wait, matched.Timeout)
	}
	e := &execution{
		relay:       r,
		caller:      caller,
		message:     m,
		route:       matched,
		deadline:    m.At(wait - min(deadlineMargin, wait/10)),
		shards:      make([]shard, len(services)),
		attempts:    make([]attempt, 0, len(services)+len(services)/2+2),
		completions: make(chan completion, len(services)*maxCallsPerShard),
		unresolved:  len(services),
	}
	e.partialAfter = e.deadline
	_, m.OmitHeader = matched.Target.(topo.ShardSet)
	if m.OmitHeader && matched.LatencyObjective > 0 {
		margin := objectiveMargin + time.Duration(objectiveMarginShare*float64(matched.LatencyObjective))
		e.partialAfter = m.At(max(matched.LatencyObjective-margin, matched.LatencyObjective/2))
	}
	for i, service := range services {
		e.shards[i].service = service
	}
	return e
}

// run runs the message and returns its answer.
func (e *execution) run() (Answer, error) {
	if err := e.checkReachable(); err != nil {
		return nil, err
	}
	defer e.abandonCalls()
	e.collect()
	return e.buildAnswer()
}

// collect sends the calls and takes in results until each shard has one, the least coverage is reached late, or time is up.
func (e *execution) collect() {
	defer e.endDelegation()
	now := time.Now()
	e.relay.options.Picker.Earn(len(e.shards))
	e.delegate(now)
	for i := range e.shards {
		if !e.shards[i].delegated {
			e.sendFirst(i, now)
		}
	}
	alarm := time.NewTimer(time.Until(e.nextWake()))
	defer alarm.Stop()
	for e.unresolved > 0 && !e.aborted && !e.partialDue() {
		select {
		case c := <-e.completions:
			e.handleCompletion(c)
		case r := <-e.delegationResults():
			e.handleDelegation(r)
		case <-e.disconnected:
			e.aborted = true
		case <-alarm.C:
			now := time.Now()
			if !now.Before(e.deadline) {
				return
			}
			e.watchCaller(now)
			e.checkOverdue(now)
			e.hedge(now)
			alarm.Reset(max(time.Until(e.nextWake()), time.Millisecond))
		}
	}
}

// sendFirst makes the first call for a shard.
func (e *execution) sendFirst(i int, now time.Time) {
	e.relay.retryBudget(e.shards[i].service).RecordOrdinary(now)
	if e.send(i, reasonFirst) {
		e.mirror(i, now)
	}
}

// nextWake returns the time of the next thing to do.
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
		if !s.closed && s.hedgeAt.After(now) && s.hedgeAt.Before(next) {
			next = s.hedgeAt
		}
	}
	return next
}

// watchCaller begins to look whether the caller has left once the message has taken a while.
func (e *execution) watchCaller(now time.Time) {
	if e.disconnected == nil && !now.Before(e.message.Arrived.Add(disconnectWatchDelay)) {
		e.disconnected = e.caller.Disconnected()
	}
}

// send gives the message to the best server of a shard that was not tried; it reports false when there is none.
func (e *execution) send(i int, reason string) bool {
	s := &e.shards[i]
	t := e.relay.table.Load()
	now := time.Now()
	server, ok := e.relay.options.Picker.Pick(e.candidates(t, s, now))
	if !ok || s.sends >= maxCallsPerShard || !e.relay.admit(t, server.ID, now) {
		e.giveUp(i, "no server left to try")
		return false
	}
	e.sendTo(i, server, reason, now)
	return true
}

func (e *execution) sendTo(i int, server route.Server, reason string, now time.Time) {
	s := &e.shards[i]
	s.tried = append(s.tried, server.ID)
	s.pending++
	s.sends++
	s.hedgeAt = now.Add(e.hedgeDelay(server))
	index := len(e.attempts)
	e.attempts = append(e.attempts, attempt{
		shard:  i,
		server: server.ID,
		reason: reason,
		sent:   now,
	})
	e.relay.options.Meter.CountCall(reason, server.DataCentre != e.relay.options.DataCentre)
	e.step(trace.Step{
		What:     reason,
		Shard:    s.service,
		Server:   server.ID,
		Detail:   server.DataCentre,
		Expected: e.relay.options.Picker.ExpectedLatency(server, e.route.Name),
	})
	completions := e.completions
	e.attempts[index].abandon = e.relay.options.Pool.Submit(server, &pool.Call{
		Message: e.message,
		Server:  server.ID,
		Kind:    e.route.Name,
		Until:   e.deadline,
		OnResult: func(result query.Result) {
			completions <- completion{
				attempt: index,
				result:  result,
			}
		},
	})
}

func (e *execution) candidates(t *table, s *shard, now time.Time) route.Candidates {
	return route.Candidates{
		Kind:           e.route.Name,
		Servers:        t.replicas[s.service],
		Tried:          s.tried,
		PreferenceSeed: e.relay.preferenceSeed(t, s.service),
		Eligible:       func(server string) bool { return e.relay.canAdmit(t, server, now) },
	}
}

func (e *execution) step(s trace.Step) {
	s.After = time.Since(e.message.Arrived)
	e.steps = append(e.steps, s)
}
