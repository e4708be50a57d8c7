package peer

import (
	"context"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"magnoliaworks/core/member"
	"magnoliaworks/io/peer/frame"
)

// Ask runs an operator's read-only command on another host and returns its output.
func (c *Client) Ask(ctx context.Context, to member.Member, command string) (string, error) {
	reply, err := c.controlClient(to.Address).Ask(ctx, newRequest(&frame.AskRequest{
		Command: command,
	}))
	if err != nil {
		return "", errors.Wrapf(err, "ask host %s", to.ID)
	}
	return reply.Msg.GetText(), nil
}

// Ask implements frame.PeerHandler.
func (s *Service) Ask(ctx context.Context, request *connect.Request[frame.AskRequest]) (*connect.Response[frame.AskReply], error) {
	text, err := s.answerer.Answer(ctx, request.Msg.GetCommand())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(&frame.AskReply{
		Text: text,
	}), nil
}
