package route

import (
	"fmt"
	"time"

	"magnoliaworks/core/query"
)

// Earn records n ordinary sub-requests, which earn the budget for choices of far servers.
func (p *Picker) Earn(n int) { p.cross.Earn(n) }

// Began records that a sub-request goes to a server.
func (p *Picker) Began(server string) { p.score(server).begin(time.Now()) }

// Ended records the result of a sub-request that took the given time.
func (p *Picker) Ended(server string, took time.Duration, result query.Result) {
	now := time.Now()
	score := p.score(server)
	switch r := result.(type) {
	case query.Done:
		score.done(took, r.Hint.Wait, now)
	case query.Absent:
		score.done(took, r.Hint.Wait, now)
	case query.Unsent:
		score.refused(r.Hint.Wait, now)
	case query.Failed:
		if score.failed(now) {
			p.journal.Record("route", server, "ejected for "+ejectTime.String(),
				fmt.Sprintf("%d failures in a row, last: %s", ejectAfter, r.Reason))
		}
	}
}

// GaveUp records that a sub-request was cancelled after the given time; lost tells that another reply was faster.
func (p *Picker) GaveUp(server string, took time.Duration, lost bool) {
	if lost {
		p.score(server).slow(took)
		return
	}
	p.score(server).cancelled()
}
