package relay

import (
	"context"

	"github.com/pkg/errors"

	"magnoliaworks/core/query"
	"magnoliaworks/core/topo"
)

// Gather calls some services of a message's shard set for another host and returns their merged replies.
// It returns an error if there is no configuration, no matching route or if the route's target is not a shard set.
func (r *Relay) Gather(ctx context.Context, m *query.Message, services []string) (GatherResult, error) {
	r.inProgress.Add(1)
	defer r.inProgress.Add(-1)
	config := r.table.Load().state.Config()
	if config == nil {
		return GatherResult{}, errors.New("no configuration received yet")
	}
	matched, ok := config.Match(m.Host, m.Path)
	if !ok {
		return GatherResult{}, errors.Errorf("no route of host %q matches the path", m.Host)
	}
	if _, ok := matched.Target.(topo.ShardSet); !ok {
		return GatherResult{}, errors.Errorf("the target of route %q is not a shard set", matched.Name)
	}
	e := r.newExecution(peerCaller{ctx}, m, matched, services)
	e.forPeer = true
	e.configVersion = config.Version
	defer e.cancelCalls()
	e.collect()
	result := e.mergeForPeer(matched.Target.(topo.ShardSet))
	r.record(e, nil)
	return result, nil
}

// mergeForPeer merges the replies that are in.
func (e *execution) mergeForPeer(target topo.ShardSet) GatherResult {
	e.cancelPending()
	var result GatherResult
	var bodies [][]byte
	for i := range e.shards {
		s := &e.shards[i]
		switch {
		case s.reply != nil:
			result.Signatures = append(result.Signatures, s.reply.Signature)
			bodies = append(bodies, s.reply.Body)
			continue
		case s.ran == 0 && s.pending == 0:
			result.NotExecuted = append(result.NotExecuted, s.service)
		}
		result.Missing = append(result.Missing, s.service)
	}
	result.Body = merge(bodies, target.TopK)
	return result
}

// peerCaller is another host, as the caller of a message.
type peerCaller struct {
	ctx context.Context
}

// Disconnected implements Caller.
func (c peerCaller) Disconnected() <-chan struct{} { return c.ctx.Done() }
