package peer

import (
	"context"
	"net"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"magnoliaworks/core/gather"
	"magnoliaworks/core/member"
	"magnoliaworks/core/query"
	"magnoliaworks/io/peer/frame"
)

// States of an OrderReply, as numbered on the wire.
const (
	orderDone uint32 = iota + 1
	orderNotRun
	orderUnknown
	orderInvalid
)

// replyMargin is the part of the remaining time that is reserved for the transfer of a forwarded request's reply.
const replyMargin = 10 * time.Millisecond

// retryAfter is the wait that a caller is advised after a forwarded request was not run.
const retryAfter = time.Second

// Forward implements gather.Forwarder.
func (c *Client) Forward(ctx context.Context, to member.Member, req query.Request) (query.Answer, error) {
	deadline, _ := ctx.Deadline()
	reply, err := c.controlClient(to.Address).Order(ctx, newRequest(&frame.OrderRequest{
		RequestId:   req.ID,
		Caller:      req.Caller,
		Key:         req.IdempotencyKey,
		Collection:  req.Collection,
		Kind:        req.Kind,
		Text:        req.Text,
		Limit:       uint32(req.Limit),
		RemainingMs: uint32(max(time.Until(deadline)-replyMargin, time.Millisecond).Milliseconds()),
	}))
	if err != nil {
		return query.Answer{}, forwardError(to, err)
	}
	return orderAnswer(reply.Msg)
}

// forwardError returns an error that wraps gather.ErrNotForwarded if no connection was opened; otherwise the host may have
// the request.
func forwardError(to member.Member, err error) error {
	if dialFailed(err) {
		return errors.Wrapf(gather.ErrNotForwarded, "host %s: %v", to.ID, err)
	}
	return errors.Wrapf(err, "forward to host %s", to.ID)
}

// dialFailed reports whether err means that no connection could be opened, so that nothing was sent to the other host.
func dialFailed(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

func orderAnswer(reply *frame.OrderReply) (query.Answer, error) {
	switch reply.GetState() {
	case orderDone:
		return query.Answer{
			Snapshot: reply.GetSnapshot(),
			Coverage: query.Coverage{
				Answered: 1,
				Total:    1,
			},
			Hits: hitsOf(reply.GetHits(), ""),
		}, nil
	case orderNotRun:
		return query.Answer{}, query.NotRun{
			Reason:     reply.GetReason(),
			RetryAfter: retryAfter,
		}
	case orderInvalid:
		return query.Answer{}, query.Invalid{
			Field:  "key",
			Reason: reply.GetReason(),
		}
	default:
		return query.Answer{}, query.OutcomeUnknown{
			Reason: reply.GetReason(),
		}
	}
}

// Order implements frame.PeerHandler. The request runs for up to its remaining time even if the forwarding host ends the call.
func (s *Service) Order(ctx context.Context, request *connect.Request[frame.OrderRequest]) (*connect.Response[frame.OrderReply], error) {
	m := request.Msg
	timeout := time.Duration(m.GetRemainingMs()) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	answer, err := s.requestRunner.RunForwarded(ctx, query.Request{
		ID:             m.GetRequestId(),
		Caller:         m.GetCaller(),
		IdempotencyKey: m.GetKey(),
		Collection:     m.GetCollection(),
		Kind:           m.GetKind(),
		Text:           m.GetText(),
		Limit:          int(m.GetLimit()),
		Timeout:        timeout,
	})
	return connect.NewResponse(orderReply(answer, err)), nil
}

func orderReply(answer query.Answer, err error) *frame.OrderReply {
	switch refusal := err.(type) {
	case nil:
		return &frame.OrderReply{
			State:    orderDone,
			Snapshot: answer.Snapshot,
			Hits:     hitFrames(answer.Hits),
		}
	case query.NotRun:
		return &frame.OrderReply{
			State:  orderNotRun,
			Reason: refusal.Reason,
		}
	case query.Invalid:
		return &frame.OrderReply{
			State:  orderInvalid,
			Reason: refusal.Reason,
		}
	default:
		return &frame.OrderReply{
			State:  orderUnknown,
			Reason: err.Error(),
		}
	}
}
