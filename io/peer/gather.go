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

// Gatherer runs messages to shard sets for other hosts.
type Gatherer interface {
	// Gather returns the merged parts of some services of a message's shard set; it ends with ctx.
	Gather(ctx context.Context, m *query.Message, services []string) (relay.GatherResult, error)
}

// Gather implements relay.Peers.
func (c *Client) Gather(ctx context.Context, to member.Member, m *query.Message, services []string, hop time.Duration) (relay.GatherResult, error) {
	spent := time.Since(m.Arrived) + m.Elapsed + hop
	reply, err := c.lasting(to.Address).Gather(ctx, newRequest(&frame.GatherRequest{
		Id:          m.ID,
		Host:        m.Host,
		Path:        m.Path,
		Head:        m.Head,
		RemainingUs: uint32(max(m.Timeout-spent, 0).Microseconds()),
		SpentUs:     uint32(spent.Microseconds()),
		Services:    services,
	}))
	if notDialled(err) || connect.CodeOf(err) == connect.CodeUnimplemented {
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
	if s.gatherer == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errors.New("the host serves no messages"))
	}
	in := request.Msg
	arrived := time.Now()
	spent := time.Duration(in.GetSpentUs()) * time.Microsecond
	answer, err := s.gatherer.Gather(ctx, &query.Message{
		ID:         in.GetId(),
		Host:       in.GetHost(),
		Path:       in.GetPath(),
		Head:       in.GetHead(),
		Arrived:    arrived,
		Elapsed:    spent,
		Timeout:    time.Duration(in.GetRemainingUs())*time.Microsecond + spent,
		OmitHeader: true,
	}, in.GetServices())
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&frame.GatherReply{
		Proofs:  answer.Signatures,
		Body:    answer.Body,
		Missing: answer.Missing,
		Unsent:  answer.NotExecuted,
		TookUs:  uint32(time.Since(arrived).Microseconds()),
	}), nil
}
