package peer

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"magnoliaworks/core/member"
	"magnoliaworks/core/watch"
	"magnoliaworks/io/peer/frame"
)

// Feeder returns what this host has learnt of the platform's store.
type Feeder interface {
	// Feed returns the news after a place; it waits a while for some.
	Feed(ctx context.Context, after watch.Position, wait time.Duration) (watch.Update, error)
}

// Feed implements watch.Peers.
func (c *Client) Feed(ctx context.Context, from member.Member, after watch.Position, wait time.Duration) (watch.Update, error) {
	reply, err := c.lasting(from.Address).Feed(ctx, newRequest(&frame.FeedRequest{
		Epoch:    after.Epoch,
		Sequence: after.Sequence,
		WaitMs:   uint32(wait.Milliseconds()),
	}))
	if err != nil {
		return watch.Update{}, errors.Wrapf(err, "feed from host %s", from.ID)
	}
	return newsOf(reply.Msg)
}

// Feed implements frame.PeerHandler.
func (s *Service) Feed(ctx context.Context, request *connect.Request[frame.FeedRequest]) (*connect.Response[frame.FeedReply], error) {
	if s.feeder == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, watch.ErrFeedUnavailable)
	}
	after := watch.Position{
		Epoch:    request.Msg.GetEpoch(),
		Sequence: request.Msg.GetSequence(),
	}
	news, err := s.feeder.Feed(ctx, after, time.Duration(request.Msg.GetWaitMs())*time.Millisecond)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(newsFrame(news)), nil
}

func newsFrame(news watch.Update) *frame.FeedReply {
	reply := &frame.FeedReply{
		Epoch:     news.Position.Epoch,
		Sequence:  news.Position.Sequence,
		Whole:     news.Full,
		Revisions: news.Revisions[:],
	}
	for kind, objects := range news.Objects {
		for _, o := range objects {
			reply.Objects = append(reply.Objects, &frame.FeedObject{
				Kind:     uint32(kind),
				Name:     o.Name,
				Revision: o.Revision,
				Value:    o.Value,
				Deleted:  o.Deleted,
			})
		}
	}
	return reply
}

func newsOf(reply *frame.FeedReply) (watch.Update, error) {
	news := watch.Update{
		Position: watch.Position{
			Epoch:    reply.GetEpoch(),
			Sequence: reply.GetSequence(),
		},
		Full: reply.GetWhole(),
	}
	if n := len(reply.GetRevisions()); n != watch.KindCount {
		return news, errors.Errorf("feed has the revisions of %d kinds, known are %d", n, watch.KindCount)
	}
	copy(news.Revisions[:], reply.GetRevisions())
	for _, o := range reply.GetObjects() {
		if int(o.GetKind()) >= watch.KindCount {
			return news, errors.Errorf("feed has an object of the unknown kind %d", o.GetKind())
		}
		news.Objects[o.GetKind()] = append(news.Objects[o.GetKind()], watch.Object{
			Name:     o.GetName(),
			Revision: o.GetRevision(),
			Value:    o.GetValue(),
			Deleted:  o.GetDeleted(),
		})
	}
	return news, nil
}
