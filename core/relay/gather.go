package relay

import (
	"context"

	"github.com/pkg/errors"

	"magnoliaworks/core/query"
	"magnoliaworks/core/topo"
)

// Gather asks the services of a message's shard set for their parts, for another host.
func (r *Relay) Gather(ctx context.Context, m *query.Message, services []string) (GatherResult, error) {
	r.inside.Add(1)
	defer r.inside.Add(-1)
	plan := r.table.Load().state.Config()
	if plan == nil {
		return GatherResult{}, errors.New("no configuration received yet")
	}
	matched, ok := plan.Match(m.Host, m.Path)
	if !ok {
		return GatherResult{}, errors.Errorf("no route of host %q begins the path", m.Host)
	}
	if _, ok := matched.Target.(topo.ShardSet); !ok {
		return GatherResult{}, errors.Errorf("route %q names no shard set", matched.Name)
	}
	f := r.newFlight(peerCaller{ctx}, m, matched, services)
	f.bundled = true
	f.version = plan.Version
	defer f.letGo()
	f.collect()
	b := f.gatherBundle(matched.Target.(topo.ShardSet))
	r.keep(f, nil)
	return b, nil
}

// gatherBundle merges the parts that have come.
func (f *flight) gatherBundle(target topo.ShardSet) GatherResult {
	f.withdraw()
	var b GatherResult
	var bodies [][]byte
	for i := range f.shards {
		s := &f.shards[i]
		switch {
		case s.part != nil:
			b.Signatures = append(b.Signatures, s.part.Signature)
			bodies = append(bodies, s.part.Body)
			continue
		case s.ran == 0 && s.pending == 0:
			b.NotExecuted = append(b.NotExecuted, s.service)
		}
		b.Missing = append(b.Missing, s.service)
	}
	b.Body = merge(bodies, target.TopK)
	return b
}

// peerCaller is a host that waits for an answer.
type peerCaller struct {
	ctx context.Context
}

// Gone implements Caller.
func (c peerCaller) Gone() <-chan struct{} { return c.ctx.Done() }
