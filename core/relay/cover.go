package relay

import (
	"fmt"
	"time"

	"magnoliaworks/core/query"
	"magnoliaworks/core/topo"
)

// hopeless returns the refusal of a search for which too few shards have a server at all; nothing has been sent.
func (f *flight) hopeless() error {
	target, ok := f.route.Target.(topo.ShardSet)
	if !ok {
		return nil
	}
	t := f.r.table.Load()
	served := 0
	for _, service := range target.Services {
		if len(t.replicas[service]) > 0 {
			served++
		}
	}
	if float64(served) >= target.MinCoverage*float64(len(target.Services)) && served > 0 {
		return nil
	}
	return query.NotRun{
		Reason:     fmt.Sprintf("%d of %d shards have a server, the minimum share is %g", served, len(target.Services), target.MinCoverage),
		RetryAfter: unreadyRetry,
	}
}

// enough reports whether the answer is due although shards are open.
func (f *flight) enough() bool {
	return f.answered > 0 && f.covered() && !time.Now().Before(f.answerBy)
}

func (f *flight) covered() bool {
	target, ok := f.route.Target.(topo.ShardSet)
	if !ok {
		return f.answered > 0
	}
	// What may be missing is a part of the whole set, of which a bundle has some shards.
	missing := len(f.shards) - f.answered
	return float64(len(target.Services)-missing) >= target.MinCoverage*float64(len(target.Services))
}
