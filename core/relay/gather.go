package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/core/query"
	"magnoliaworks/core/topo"
)

// GatherTask is what one host gathers for another.
type GatherTask struct {
	// Route is the route of the message. Its target, a shard set, names the services to call.
	Route *topo.Route
	// SetSize is the number of services in the whole shard set, to which the minimum coverage refers.
	SetSize int
}

// Gather calls some services of a shard set for another host and returns their merged replies. The task follows the
// configuration of the other host, which may be of another version than this host's.
func (r *Relay) Gather(ctx context.Context, m *query.Message, task GatherTask) (GatherResult, error) {
	r.inProgress.Add(1)
	defer r.inProgress.Add(-1)
	config := r.table.Load().state.Config()
	if config == nil {
		return GatherResult{}, errNoConfig
	}
	target, ok := task.Route.Target.(topo.ShardSet)
	if !ok {
		return GatherResult{}, errors.Errorf("the target of route %q is not a shard set", task.Route.Name)
	}
	e := r.newExecution(peerCaller{ctx}, m, task.Route, target.Services)
	e.setSize = task.SetSize
	e.forPeer = true
	e.configVersion = config.Version
	defer e.cancelCalls()
	e.collect()
	result := e.mergeForPeer(target)
	r.record(e, time.Since(m.Arrived), nil)
	return result, nil
}

// errNoConfig reports that this host can't gather yet.
var errNoConfig = errors.New("no configuration received yet")

// MatchTask returns the task of gathering some services for a message by this host's configuration. Hosts of an older
// version state only the services.
func (r *Relay) MatchTask(m *query.Message, services []string) (GatherTask, error) {
	config := r.table.Load().state.Config()
	if config == nil {
		return GatherTask{}, errNoConfig
	}
	matched, ok := config.Match(m.Host, m.Path)
	if !ok {
		return GatherTask{}, errors.Errorf("no route of host %q matches the path", m.Host)
	}
	target, ok := matched.Target.(topo.ShardSet)
	if !ok {
		return GatherTask{}, errors.Errorf("the target of route %q is not a shard set", matched.Name)
	}
	return newGatherTask(matched, target, services), nil
}

// newGatherTask returns the task of gathering some services of a route's shard set.
func newGatherTask(route *topo.Route, target topo.ShardSet, services []string) GatherTask {
	part := *route
	setSize := len(target.Services)
	target.Services = services
	part.Target = target
	return GatherTask{
		Route:   &part,
		SetSize: setSize,
	}
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

// AfterAnswer implements Caller. The answer to a host is written by the caller of Gather, and f is called before.
func (peerCaller) AfterAnswer(f func()) { f() }
