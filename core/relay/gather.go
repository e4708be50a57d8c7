package relay

import (
	"context"

	"github.com/pkg/errors"

	"magnoliaworks/core/query"
	"magnoliaworks/core/topo"
)

// Gather asks the services of a message's shard set for their parts, for another host.
func (r *Relay) Gather(ctx context.Context, m *query.Message, services []string) (GatherResult, error) {
	r.inProgress.Add(1)
	defer r.inProgress.Add(-1)
	config := r.table.Load().state.Config()
	if config == nil {
		return GatherResult{}, errors.New("no configuration received yet")
	}
	matched, ok := config.Match(m.Host, m.Path)
	if !ok {
		return GatherResult{}, errors.Errorf("no route of host %q begins the path", m.Host)
	}
	if _, ok := matched.Target.(topo.ShardSet); !ok {
		return GatherResult{}, errors.Errorf("route %q names no shard set", matched.Name)
	}
	e := r.newExecution(peerCaller{ctx}, m, matched, services)
	e.forPeer = true
	e.configVersion = config.Version
	defer e.abandonCalls()
	e.collect()
	b := e.mergeForPeer(matched.Target.(topo.ShardSet))
	r.record(e, nil)
	return b, nil
}

// mergeForPeer merges the parts that have come.
func (e *execution) mergeForPeer(target topo.ShardSet) GatherResult {
	e.withdrawQueued()
	var b GatherResult
	var bodies [][]byte
	for i := range e.shards {
		s := &e.shards[i]
		switch {
		case s.reply != nil:
			b.Signatures = append(b.Signatures, s.reply.Signature)
			bodies = append(bodies, s.reply.Body)
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

// Disconnected implements Caller.
func (c peerCaller) Disconnected() <-chan struct{} { return c.ctx.Done() }
