package peer

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"magnoliaworks/core/member"
	"magnoliaworks/core/query"
	"magnoliaworks/core/relay"
	"magnoliaworks/core/topo"
	"magnoliaworks/io/peer/frame"
)

// Relay gathers the replies of shards on behalf of other hosts.
type Relay interface {
	// Gather returns the merged replies of the services of a task. It ends with ctx.
	Gather(ctx context.Context, m *query.Message, task relay.GatherTask) (relay.GatherResult, error)
	// MatchTask returns the task of gathering some services for a message by this host's configuration.
	MatchTask(m *query.Message, services []string) (relay.GatherTask, error)
}

// Gather implements relay.Peers. It counts roundTrip as elapsed, so that the reply arrives in time. The error wraps
// relay.ErrNotExecuted if no connection was opened or the other host has no Relay.
func (c *Client) Gather(ctx context.Context, to member.Member, m *query.Message, task relay.GatherTask, roundTrip time.Duration) (relay.GatherResult, error) {
	target, ok := task.Route.Target.(topo.ShardSet)
	if !ok {
		return relay.GatherResult{}, errors.Wrapf(relay.ErrNotExecuted, "the target of route %q is not a shard set", task.Route.Name)
	}
	timeout, elapsed := m.Timeout, time.Since(m.Arrived)+m.Elapsed+roundTrip
	if task.Route.Timeout > 0 {
		timeout = min(timeout, task.Route.Timeout)
	}
	timeout -= m.Standstill
	reply, err := c.persistentClient(to.Address).Gather(ctx, newRequest(&frame.GatherRequest{
		Id:          m.ID,
		Host:        m.Host,
		Path:        m.Path,
		Head:        m.Head,
		RemainingUs: uint32(max(timeout-elapsed, 0).Microseconds()),
		SpentUs:     uint32(elapsed.Microseconds()),
		Services:    target.Services,
		Route: &frame.ShardRoute{
			Name:        task.Route.Name,
			ObjectiveUs: uint32(task.Route.LatencyObjective.Microseconds()),
			MaxAttempts: uint32(task.Route.MaxAttempts),
			Priority:    uint32(task.Route.Priority),
			RecordLimit: uint32(target.TopK),
			SetSize:     uint32(task.SetSize),
			LeastShare:  target.MinCoverage,
		},
		Account: m.Account,
	}))
	if dialFailed(err) || connect.CodeOf(err) == connect.CodeUnimplemented {
		return relay.GatherResult{}, errors.Wrapf(relay.ErrNotExecuted, "host %s: %v", to.ID, err)
	}
	if err != nil {
		return relay.GatherResult{}, errors.Wrapf(err, "gather on host %s", to.ID)
	}
	return relay.GatherResult{
		Signatures:  reply.Msg.GetProofs(),
		Body:        reply.Msg.GetBody(),
		Missing:     reply.Msg.GetMissing(),
		NotExecuted: reply.Msg.GetUnsent(),
		Elapsed:     time.Duration(reply.Msg.GetTookUs()) * time.Microsecond,
	}, nil
}

// Gather implements frame.PeerHandler.
func (s *Service) Gather(ctx context.Context, request *connect.Request[frame.GatherRequest]) (*connect.Response[frame.GatherReply], error) {
	if s.relay == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errors.New("the host does not serve the platform's messages"))
	}
	message := request.Msg
	arrived := time.Now()
	elapsed := time.Duration(message.GetSpentUs()) * time.Microsecond
	m := &query.Message{
		ID:         message.GetId(),
		Host:       message.GetHost(),
		Path:       message.GetPath(),
		Head:       message.GetHead(),
		Account:    message.GetAccount(),
		Arrived:    arrived,
		Elapsed:    elapsed,
		Standstill: s.timer.Standstill(arrived),
		Timeout:    time.Duration(message.GetRemainingUs())*time.Microsecond + elapsed,
		OmitHeader: true,
	}
	task, err := s.gatherTask(m, message)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	result, err := s.relay.Gather(ctx, m, task)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&frame.GatherReply{
		Proofs:  result.Signatures,
		Body:    result.Body,
		Missing: result.Missing,
		Unsent:  result.NotExecuted,
		TookUs:  uint32(time.Since(arrived).Microseconds()),
	}), nil
}

// gatherTask returns the task that the calling host states, or by this host's configuration if an older host states only
// the services.
func (s *Service) gatherTask(m *query.Message, request *frame.GatherRequest) (relay.GatherTask, error) {
	route := request.GetRoute()
	if route == nil {
		return s.relay.MatchTask(m, request.GetServices())
	}
	return relay.GatherTask{
		Route: &topo.Route{
			Name:             route.GetName(),
			Idempotent:       true,
			LatencyObjective: time.Duration(route.GetObjectiveUs()) * time.Microsecond,
			MaxAttempts:      int(route.GetMaxAttempts()),
			Priority:         int(route.GetPriority()),
			Target: topo.ShardSet{
				Services:    request.GetServices(),
				TopK:        int(route.GetRecordLimit()),
				MinCoverage: route.GetLeastShare(),
			},
		},
		SetSize: int(route.GetSetSize()),
	}, nil
}
