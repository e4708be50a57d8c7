package relay

import (
	"time"

	"magnoliaworks/core/limit"
	"magnoliaworks/core/query"
	"magnoliaworks/core/topo"
	"magnoliaworks/core/trace"
)

const (
	// sampleInterval is the number of messages answered completely and in time of which one is logged.
	sampleInterval = 128
	// maxLoggedPerSecond bounds the messages of one second that are logged with all their steps, and those that are logged
	// although no route was found for them.
	maxLoggedPerSecond = 4
)

// record counts an ended message, and logs it if it was slow, partial or refused, or is sampled.
func (r *Relay) record(e *execution, err error) {
	took := time.Since(e.message.Arrived)
	r.options.Meter.CountMessage(e.targetLabel(), query.Outcome(err), took)
	degraded := err != nil || e.answered < len(e.shards) || (e.route.LatencyObjective > 0 && took > e.route.LatencyObjective)
	if !degraded && r.succeeded.Add(1)%sampleInterval != 0 {
		return
	}
	if !r.logRate.Allow(time.Now(), maxLoggedPerSecond) {
		r.options.Meter.CountEvent("message_not_logged")
		return
	}
	cause := ""
	if err != nil {
		cause = err.Error()
	}
	r.options.Journal.RecordRequest(trace.Request{
		ID:      e.message.ID,
		Kind:    e.route.Name,
		At:      e.message.Arrived,
		Took:    took,
		Outcome: query.Outcome(err),
		Cause:   cause,
		Version: e.configVersion,
		Account: e.message.Account,
		Steps:   e.steps,
	})
}

// recordUnmatched counts and logs a message that was refused before a route was found for it.
func (r *Relay) recordUnmatched(m *query.Message, version uint64, err error) {
	r.recordRefusal(m, &r.unmatchedRate, trace.Request{
		Version: version,
	}, err)
}

// recordRefusal counts a message that was refused before anything was sent, and logs it with what is stated of it. Each cause of
// refusal has a bound of its own, so that the callers refused for one displace no other message from the log.
func (r *Relay) recordRefusal(m *query.Message, rate *limit.Rate, stated trace.Request, err error) {
	took := time.Since(m.Arrived)
	r.options.Meter.CountMessage("unknown", query.Outcome(err), took)
	if !rate.Allow(time.Now(), maxLoggedPerSecond) {
		r.options.Meter.CountEvent("message_not_logged")
		return
	}
	stated.ID, stated.At, stated.Took = m.ID, m.Arrived, took
	stated.Outcome, stated.Cause = query.Outcome(err), err.Error()
	r.options.Journal.RecordRequest(stated)
}

// targetLabel returns the metric label for the kind of target, or "bundle" for what is gathered for another host.
// There are too many routes for a label of their own.
func (e *execution) targetLabel() string {
	if e.forPeer {
		return "bundle"
	}
	switch e.route.Target.(type) {
	case topo.SingleService:
		return "one"
	case topo.TrafficSplit:
		return "split"
	case topo.ShardSet:
		return "shards"
	default:
		return "unknown"
	}
}
