package route

import (
	"fmt"
	"time"

	"magnoliaworks/core/query"
)

// Earn adds n ordinary calls to the budget that bounds choices of remote servers for speed.
func (p *Picker) Earn(n int) { p.crossBudget.Earn(n) }

// Started records that a call of a kind was submitted for a server; it may still wait in a queue of this host.
func (p *Picker) Started(server, kind string) {
	p.statsOf(server).started(p.MedianLatency(kind), time.Now())
}

// Finished records the result of a call of a kind and the time that it took.
func (p *Picker) Finished(server, kind string, took time.Duration, result query.Result) {
	now := time.Now()
	stats := p.statsOf(server)
	switch r := result.(type) {
	case query.Done:
		stats.succeeded(took, p.observeLatency(kind, took), r.Feedback, now)
		p.observeRemote(stats, kind, r.Feedback.Load, r.Reply, now)
	case query.SnapshotAbsent:
		stats.succeeded(took, p.MedianLatency(kind), r.Feedback, now)
	case query.NotExecuted:
		stats.notExecuted(refusedByChance(r), r.Feedback, avoidTimeAfter(r), now)
		p.observeRemote(stats, kind, r.Feedback.Load, nil, now)
	case query.Failed:
		if stats.failed(now) {
			p.journal.Record("route", server, "ejected for "+ejectionTime.String(),
				fmt.Sprintf("%d failures in a row, last: %s", ejectionThreshold, r.Reason))
		}
	}
}

// Cancelled records that a call was cancelled after the given time; hedgeLost is set if another server replied first.
func (p *Picker) Cancelled(server, kind string, took time.Duration, hedgeLost bool) {
	if hedgeLost {
		p.HedgeLost(server, kind, took)
	}
	p.statsOf(server).cancelled()
}

// Outstanding returns the number of calls in progress on a server, queued ones included.
func (p *Picker) Outstanding(server string) int { return p.statsOf(server).outstandingCalls() }

// HedgeLost records that another server replied after the given time, before this one; the call to this server may be
// the original or the hedge.
func (p *Picker) HedgeLost(server, kind string, took time.Duration) {
	p.statsOf(server).hedgeLost(took, p.MedianLatency(kind))
}

// refusedByChance reports whether a server refused a call for lack of capacity although it has free slots.
func refusedByChance(r query.NotExecuted) bool {
	return r.Cause == query.Busy && r.Feedback.Load.HasFreeSlots()
}

// avoidTimeAfter returns the time for which a server is avoided after a call was not executed. One that has refused by chance
// is not, since its capacity is needed most when others refuse too.
func avoidTimeAfter(r query.NotExecuted) time.Duration {
	switch {
	case r.Cause == query.WrongServer:
		return ejectionTime
	case refusedByChance(r):
		return 0
	default:
		return avoidTime
	}
}
