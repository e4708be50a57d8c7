package relay

import (
	"time"

	"magnoliaworks/core/route"
)

// hedgeDelay returns the time after which a call to the server is hedged. It leaves the hedge most of the latency objective,
// unless messages of the route usually take that long.
func (e *execution) hedgeDelay(server route.Server) time.Duration {
	median := e.relay.options.Picker.MedianLatency(e.route.Name)
	if e.ownMedian > 0 {
		median = min(median, e.ownMedian)
	}
	delay := hedgeFactor * median
	if e.route.LatencyObjective > 0 {
		delay = min(delay, max(e.route.LatencyObjective/hedgeDivisor, median+median/hedgeDivisor))
	}
	delay = max(delay, minHedgeDelay)
	if server.DataCentre != e.relay.options.DataCentre {
		delay += remoteLatency
	}
	return delay
}

// advanceHedges brings the hedges of a search forward once half of its shards have replied, sooner than this host expected: the search
// itself shows what is late. It answers hosts that know little of a route, since they have just started or get few of its searches. It
// reports whether a hedge is due earlier.
func (e *execution) advanceHedges(now time.Time) bool {
	if e.ownMedian > 0 || len(e.shards) == 1 || 2*e.answered < len(e.shards) || !e.route.Idempotent {
		return false
	}
	e.ownMedian = max(now.Sub(e.attempts[0].sentAt), time.Microsecond)
	if e.ownMedian >= e.relay.options.Picker.MedianLatency(e.route.Name) {
		return false
	}
	advanced := false
	t := e.relay.table.Load()
	for n := range e.attempts {
		a := &e.attempts[n]
		s := &e.shards[a.shard]
		if a.ended || s.resolved || s.pending != 1 {
			continue
		}
		if due := a.sentAt.Add(e.hedgeDelay(t.server(s.service, a.server))); due.Before(s.hedgeAt) {
			s.hedgeAt, advanced = latest(due, now.Add(time.Millisecond)), true
		}
	}
	return advanced
}

// hedge sends another call for each shard whose only call in progress has reached hedgeAt, within the retry budget
// of the service and the attempts of the route.
func (e *execution) hedge(now time.Time) {
	if !e.route.Idempotent {
		return
	}
	for i := range e.shards {
		s := &e.shards[i]
		if s.resolved || s.pending != 1 || s.hedgeAt.After(now) || s.calls >= maxCallsPerShard || s.ran+s.pending >= e.route.MaxAttempts {
			continue
		}
		t := e.relay.table.Load()
		server, ok := e.relay.options.Picker.Pick(e.candidates(t, s, now))
		if !ok || !e.relay.admit(t, server.ID, now) || !e.relay.spendHedgeBudget(s.service) {
			s.hedgeAt = now.Add(minHedgeDelay)
			continue
		}
		e.sendTo(i, server, reasonHedge, now)
	}
}

// mirror also sends the message to a server that was avoided for its slowness, to learn whether it is fast again.
// The first call for the shard has been sent; the mirrored call is an attempt like any other.
func (e *execution) mirror(i int, now time.Time) {
	s := &e.shards[i]
	if !e.route.Idempotent || e.route.MaxAttempts < 2 {
		return
	}
	t := e.relay.table.Load()
	server, ok := e.relay.options.Picker.PickMirror(e.candidates(t, s, now), s.tried[0])
	if ok && e.relay.admit(t, server.ID, now) && e.relay.spendHedgeBudget(s.service) {
		e.sendTo(i, server, reasonMirror, now)
	}
}
