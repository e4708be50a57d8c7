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
	// maxSends bounds the calls for one shard, those included that did not run.
	maxSends = 5
	// hedgeFactor is the multiple of the expected time after which a call is repeated, and hedgeMinimum the least such time.
	hedgeFactor  = 2
	hedgeMinimum = 10 * time.Millisecond
	// hedgePart divides the objective for the latest time of a repeat, so that its own reply comes within it.
	hedgePart = 4
	// farTime is the time that a call to another data centre takes beyond one in this.
	farTime = 8 * time.Millisecond
	// objectiveMargin and objectiveShare are the time before the objective at which a search is answered as it is:
	// the way to the caller and back, and a part of the objective for merging and writing on a busy host.
	objectiveMargin = 8 * time.Millisecond
	objectiveShare  = 0.05
	// endMargin is the time before the end of the caller's wait at which the answer is written.
	endMargin = 5 * time.Millisecond
	// watchAfter is the time after which a host begins to look whether the caller has left.
	watchAfter = 100 * time.Millisecond
	// abandonGrace is the time for which calls of a caller that has left may still end by themselves.
	abandonGrace = 150 * time.Millisecond
	// loserGrace is the time for which a call that lost against a hedge keeps its connection.
	loserGrace = 400 * time.Millisecond
	// overloadRetry is the advised wait of callers that were refused for load, unreadyRetry that of those that were refused for
	// what the host does not know yet: it lasts for seconds, and callers wait no longer than their time permits.
	overloadRetry = 150 * time.Millisecond
	unreadyRetry  = time.Second
)

// Reasons for calls.
const (
	first     = "first"
	retry     = "retry"
	hedge     = "hedge"
	mirror    = "mirror"
	delegated = "delegated"
)

// flight is one message on its way. One task owns it.
type flight struct {
	r       *Relay
	caller  Caller
	message *query.Message
	route   *topo.Route
	// until is the end of the wait; answerBy the time from which a search with its least coverage is answered.
	until    time.Time
	answerBy time.Time
	shards   []shard
	attempts []attempt
	inbox    chan arrival
	// open counts the shards that have neither a part nor been given up; answered those that have a part.
	open     int
	answered int
	gone     <-chan struct{}
	left     bool
	steps    []trace.Step
	// version is the version of the configuration that the route is of.
	version uint64
	// bundled is set when the flight gathers a part of a shard set for another host.
	bundled bool
	// bundle is what another host gathers for this flight, gathered what it has brought.
	bundle   *bundle
	gathered *GatherResult
}

func (r *Relay) newFlight(caller Caller, m *query.Message, matched *topo.Route, services []string) *flight {
	wait := m.Timeout
	if matched.Timeout > 0 {
		wait = min(wait, matched.Timeout)
	}
	f := &flight{
		r:        r,
		caller:   caller,
		message:  m,
		route:    matched,
		until:    m.At(wait - min(endMargin, wait/10)),
		shards:   make([]shard, len(services)),
		attempts: make([]attempt, 0, len(services)+len(services)/2+2),
		inbox:    make(chan arrival, len(services)*maxSends),
		open:     len(services),
	}
	f.answerBy = f.until
	_, m.OmitHeader = matched.Target.(topo.ShardSet)
	if m.OmitHeader && matched.LatencyObjective > 0 {
		margin := objectiveMargin + time.Duration(objectiveShare*float64(matched.LatencyObjective))
		f.answerBy = m.At(max(matched.LatencyObjective-margin, matched.LatencyObjective/2))
	}
	for i, service := range services {
		f.shards[i].service = service
	}
	return f
}

// fly runs the message and returns its answer.
func (f *flight) fly() (Answer, error) {
	if err := f.hopeless(); err != nil {
		return nil, err
	}
	defer f.letGo()
	f.collect()
	return f.finish()
}

// collect sends the calls and takes in results until each shard has one, the least coverage is reached late, or time is up.
func (f *flight) collect() {
	defer f.endBundle()
	now := time.Now()
	f.r.parts.Picker.Earn(len(f.shards))
	f.delegate(now)
	for i := range f.shards {
		if !f.shards[i].delegated {
			f.begin(i, now)
		}
	}
	alarm := time.NewTimer(time.Until(f.wake()))
	defer alarm.Stop()
	for f.open > 0 && !f.left && !f.enough() {
		select {
		case a := <-f.inbox:
			f.take(a)
		case r := <-f.results():
			f.takeBundle(r)
		case <-f.gone:
			f.left = true
		case <-alarm.C:
			now := time.Now()
			if !now.Before(f.until) {
				return
			}
			f.watch(now)
			f.doubtBundle(now)
			f.hedge(now)
			alarm.Reset(max(time.Until(f.wake()), time.Millisecond))
		}
	}
}

// begin makes the first call for a shard.
func (f *flight) begin(i int, now time.Time) {
	f.r.budget(f.shards[i].service).RecordOrdinary(now)
	if f.send(i, first) {
		f.mirror(i, now)
	}
}

// wake returns the time of the next thing to do.
func (f *flight) wake() time.Time {
	now := time.Now()
	next := f.until
	if f.answerBy.After(now) && f.answerBy.Before(next) {
		next = f.answerBy
	}
	if watch := f.message.Arrived.Add(watchAfter); f.gone == nil && watch.Before(next) {
		next = watch
	}
	for i := range f.shards {
		s := &f.shards[i]
		if !s.closed && s.hedgeAt.After(now) && s.hedgeAt.Before(next) {
			next = s.hedgeAt
		}
	}
	return next
}

// watch begins to look whether the caller has left once the message has taken a while.
func (f *flight) watch(now time.Time) {
	if f.gone == nil && !now.Before(f.message.Arrived.Add(watchAfter)) {
		f.gone = f.caller.Gone()
	}
}

// send gives the message to the best server of a shard that was not tried; it reports false when there is none.
func (f *flight) send(i int, reason string) bool {
	s := &f.shards[i]
	t := f.r.table.Load()
	now := time.Now()
	server, ok := f.r.parts.Picker.Pick(f.candidates(t, s, now))
	if !ok || s.sends >= maxSends || !f.r.take(t, server.ID, now) {
		f.giveUp(i, "no server left to try")
		return false
	}
	f.sendTo(i, server, reason, now)
	return true
}

func (f *flight) sendTo(i int, server route.Server, reason string, now time.Time) {
	s := &f.shards[i]
	s.tried = append(s.tried, server.ID)
	s.pending++
	s.sends++
	s.hedgeAt = now.Add(f.hedgeDelay(server))
	token := len(f.attempts)
	f.attempts = append(f.attempts, attempt{
		shard:  i,
		server: server.ID,
		reason: reason,
		sent:   now,
	})
	f.r.parts.Meter.CountCall(reason, server.DataCentre != f.r.parts.DataCentre)
	f.step(trace.Step{
		What:     reason,
		Shard:    s.service,
		Server:   server.ID,
		Detail:   server.DataCentre,
		Expected: f.r.parts.Picker.ExpectedLatency(server, f.route.Name),
	})
	inbox := f.inbox
	f.attempts[token].abandon = f.r.parts.Pool.Submit(server, &pool.Call{
		Message:  f.message,
		Server:   server.ID,
		Kind:     f.route.Name,
		Deadline: f.until,
		OnResult: func(result query.Result) {
			inbox <- arrival{
				token:  token,
				result: result,
			}
		},
	})
}

func (f *flight) candidates(t *table, s *shard, now time.Time) route.Candidates {
	return route.Candidates{
		Kind:           f.route.Name,
		Servers:        t.replicas[s.service],
		Tried:          s.tried,
		PreferenceSeed: f.r.order(t, s.service),
		Eligible:       func(server string) bool { return f.r.bears(t, server, now) },
	}
}

func (f *flight) step(s trace.Step) {
	s.After = time.Since(f.message.Arrived)
	f.steps = append(f.steps, s)
}
