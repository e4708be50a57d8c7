package quota

import (
	"fmt"
	"time"

	"magnoliaworks/core/topo"
)

// logRefusal logs why a request is beyond the allowance of its account: what this host holds, and how old that is.
func (q *Quota) logRefusal(account topo.Account, h *holding, total int, now time.Time) {
	if !q.logRate.Allow(now, maxLoggedPerSecond) {
		return
	}
	l := &q.links[groupOf(account.Name)]
	lease := "this host has had no lease yet"
	if !h.leasedAt.IsZero() {
		lease = fmt.Sprintf("this host holds %d of %d slots by a lease %v old", h.limit(total, now), total, milliseconds(now.Sub(h.leasedAt)))
	}
	divider := "no divider known"
	switch {
	case l.known && l.repliedAt.IsZero():
		divider = "divider " + l.to.ID + " has not replied yet"
	case l.known:
		divider = fmt.Sprintf("divider %s replied %v ago", l.to.ID, milliseconds(now.Sub(l.repliedAt)))
	}
	q.options.Journal.Record("quota", account.Name, "allowance used up", fmt.Sprintf(
		"%s and used %d in the last %v; about %.1f requests come here in that time; %s; no tokens for %v",
		lease, len(h.uses), q.options.Bounds.Window, h.demand, divider, milliseconds(max(h.shortUntil.Sub(now), 0))))
}

func milliseconds(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
