package relay

import (
	"slices"
	"time"

	"magnoliaworks/core/pool"
	"magnoliaworks/core/query"
	"magnoliaworks/core/route"
	"magnoliaworks/core/trace"
)

// send sends the message to the best server of a shard that has not been tried. It reports false, and gives the shard up,
// if there is none, the shard has used all its calls or the warm-up rate of the server is reached.
func (e *execution) send(i int, reason string) bool {
	s := &e.shards[i]
	t := e.relay.table.Load()
	now := time.Now()
	server, ok := e.relay.options.Picker.Pick(e.candidates(t, s, now))
	if !ok || s.calls >= maxCallsPerShard || !e.relay.admit(t, server.ID, now) {
		e.giveUp(i, "no server left to try")
		return false
	}
	e.sendTo(i, server, reason, now)
	return true
}

// sendTo submits a call to the server and records it as an attempt.
func (e *execution) sendTo(i int, server route.Server, reason string, now time.Time) {
	s := &e.shards[i]
	s.tried = append(s.tried, server.ID)
	s.refusing = slices.DeleteFunc(s.refusing, func(id string) bool { return id == server.ID })
	s.pending++
	s.calls++
	s.hedgeAt = now.Add(e.hedgeDelay(server))
	index := len(e.attempts)
	e.attempts = append(e.attempts, attempt{
		shard:  i,
		server: server.ID,
		reason: reason,
		sentAt: now,
	})
	e.relay.options.Meter.CountCall(reason, server.DataCentre != e.relay.options.DataCentre)
	e.step(trace.Step{
		What:     reason,
		Shard:    s.service,
		Server:   server.ID,
		Detail:   e.relay.callDetail(server),
		Expected: e.relay.options.Picker.ExpectedLatency(server, e.route.Name),
	})
	e.relay.chargeExposure(server)
	completions := e.completions
	call := &pool.Call{
		Message:  e.message,
		Server:   server.ID,
		Kind:     e.route.Name,
		Deadline: e.deadline,
		Earlier:  e.callsTo(server.ID),
		OnResult: e.relay.observingVersion(server, e.route.Name, reason, now, func(result query.Result) {
			completions <- completion{
				attempt: index,
				result:  result,
			}
		}),
	}
	e.attempts[index].call = call
	e.attempts[index].cancel = e.relay.options.Pool.Submit(server, call)
}

// callsTo returns the calls that have sent the message to a server.
func (e *execution) callsTo(server string) []*pool.Call {
	var calls []*pool.Call
	for i := range e.attempts {
		if a := &e.attempts[i]; a.server == server && a.call != nil {
			calls = append(calls, a.call)
		}
	}
	return calls
}

// candidates returns the replicas of a shard as input for the picker.
func (e *execution) candidates(t *table, s *shard, now time.Time) route.Candidates {
	return route.Candidates{
		Kind:           e.route.Name,
		Servers:        e.relay.serversFor(t, s, now),
		Tried:          s.tried,
		Refusing:       s.refusing,
		PreferenceSeed: e.relay.preferenceSeed(t, s.service),
		Eligible:       func(server string) bool { return e.relay.canAdmit(t, server, now) },
	}
}
