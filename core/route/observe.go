package route

import (
	"fmt"
	"time"

	"magnoliaworks/core/query"
)

// Earn records n ordinary sub-requests, which earn the budget for choices of far servers.
func (p *Picker) Earn(n int) { p.cross.Earn(n) }

// Started records that a sub-request of a kind goes to a server.
func (p *Picker) Started(server, kind string) {
	p.score(server).begin(p.MedianLatency(kind), time.Now())
}

// Finished records the result of a sub-request of a kind that took the given time.
func (p *Picker) Finished(server, kind string, took time.Duration, result query.Result) {
	now := time.Now()
	score := p.score(server)
	switch r := result.(type) {
	case query.Done:
		score.done(took, p.learn(kind, took), r.Feedback, now)
	case query.SnapshotAbsent:
		score.done(took, p.MedianLatency(kind), r.Feedback, now)
	case query.NotExecuted:
		score.refused(r.Feedback, avoidFor(r.Cause), now)
	case query.Failed:
		if score.failed(now) {
			p.journal.Record("route", server, "ejected for "+ejectTime.String(),
				fmt.Sprintf("%d failures in a row, last: %s", ejectAfter, r.Reason))
		}
	}
}

// Cancelled records that a sub-request was cancelled after the given time; lost tells that another reply was faster.
func (p *Picker) Cancelled(server, kind string, took time.Duration, lost bool) {
	if lost {
		p.HedgeLost(server, kind, took)
	}
	p.score(server).cancelled()
}

// HedgeLost records that another server answered after the given time while this one has not.
func (p *Picker) HedgeLost(server, kind string, took time.Duration) {
	p.score(server).slow(took, p.MedianLatency(kind))
}

// avoidFor returns the time for which a server is passed over after a refusal.
func avoidFor(cause query.Cause) time.Duration {
	if cause == query.WrongServer {
		return ejectTime
	}
	return avoidTime
}
