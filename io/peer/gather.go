package peer

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"magnoliaworks/core/member"
	"magnoliaworks/core/query"
	"magnoliaworks/core/relay"
	"magnoliaworks/io/peer/frame"
)

// Relay gathers the replies of shards on behalf of other hosts.
type Relay interface {
	// Gather returns the merged replies of some services of a message's shard set. It ends with ctx.
	Gather(ctx context.Context, m *query.Message, services []string) (relay.GatherResult, error)
}

// Gather implements relay.Peers. It counts roundTrip as elapsed, so that the reply arrives in time. The error wraps
// relay.ErrNotExecuted if no connection was opened or the other host has no Relay.
func (c *Client) Gather(ctx context.Context, to member.Member, m *query.Message, services []string, roundTrip time.Duration) (relay.GatherResult, error) {
	elapsed := time.Since(m.Arrived) + m.Elapsed + roundTrip
	reply, err := c.persistentClient(to.Address).Gather(ctx, newRequest(&frame.GatherRequest{
		Id:          m.ID,
		Host:        m.Host,
		Path:        m.Path,
		Head:        m.Head,
		RemainingUs: uint32(max(m.Timeout-elapsed, 0).Microseconds()),
		SpentUs:     uint32(elapsed.Microseconds()),
		Services:    services,
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
	result, err := s.relay.Gather(ctx, &query.Message{
		ID:         message.GetId(),
		Host:       message.GetHost(),
		Path:       message.GetPath(),
		Head:       message.GetHead(),
		Arrived:    arrived,
		Elapsed:    elapsed,
		Timeout:    time.Duration(message.GetRemainingUs())*time.Microsecond + elapsed,
		OmitHeader: true,
	}, message.GetServices())
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
