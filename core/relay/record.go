package relay

import (
	"time"

	"magnoliaworks/core/query"
	"magnoliaworks/core/topo"
	"magnoliaworks/core/trace"
)

const (
	// sampleEvery is the number of good messages of which one is logged.
	sampleEvery = 128
	// maxKept bounds the messages of one second that are logged with all their steps.
	maxKept = 4
)

// keep counts an ended message, and logs it if it was slow, partial or refused, or one of a sample.
func (r *Relay) keep(f *flight, err error) {
	took := time.Since(f.message.Arrived)
	r.parts.Meter.CountMessage(f.targetWord(), query.Outcome(err), took)
	bad := err != nil || f.answered < len(f.shards) || (f.route.LatencyObjective > 0 && took > f.route.LatencyObjective)
	if !bad && r.ended.Add(1)%sampleEvery != 0 {
		return
	}
	if !r.kept.Allow(time.Now(), maxKept) {
		r.parts.Meter.CountEvent("message_not_logged")
		return
	}
	cause := ""
	if err != nil {
		cause = err.Error()
	}
	r.parts.Journal.RecordRequest(trace.Request{
		ID:      f.message.ID,
		Kind:    f.route.Name,
		At:      f.message.Arrived,
		Took:    took,
		Outcome: query.Outcome(err),
		Cause:   cause,
		Version: f.version,
		Steps:   f.steps,
	})
}

// targetWord returns the word for a kind of target; routes are too many to be told apart in metrics.
func (f *flight) targetWord() string {
	if f.bundled {
		return "bundle"
	}
	switch f.route.Target.(type) {
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
