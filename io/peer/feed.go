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

// Feeder is this host's feed of the objects in the platform's store.
type Feeder interface {
	// Feed returns the changes after a position. If there are none, it waits for them for up to the given time.
	Feed(ctx context.Context, after watch.Position, wait time.Duration) (watch.Update, error)
}

// Feed implements watch.Peers.
func (c *Client) Feed(ctx context.Context, from member.Member, after watch.Position, wait time.Duration) (watch.Update, error) {
	reply, err := c.persistentClient(from.Address).Feed(ctx, newRequest(&frame.FeedRequest{
		Epoch:    after.Epoch,
		Sequence: after.Sequence,
		WaitMs:   uint32(wait.Milliseconds()),
	}))
	if err != nil {
		return watch.Update{}, errors.Wrapf(err, "feed from host %s", from.ID)
	}
	return updateOf(reply.Msg)
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
	update, err := s.feeder.Feed(ctx, after, time.Duration(request.Msg.GetWaitMs())*time.Millisecond)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(updateFrame(update)), nil
}

func updateFrame(update watch.Update) *frame.FeedReply {
	reply := &frame.FeedReply{
		Epoch:     update.Position.Epoch,
		Sequence:  update.Position.Sequence,
		Whole:     update.Full,
		Revisions: update.Revisions[:],
	}
	for kind, objects := range update.Objects {
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

func updateOf(reply *frame.FeedReply) (watch.Update, error) {
	update := watch.Update{
		Position: watch.Position{
			Epoch:    reply.GetEpoch(),
			Sequence: reply.GetSequence(),
		},
		Full: reply.GetWhole(),
	}
	if n := len(reply.GetRevisions()); n != watch.KindCount {
		return update, errors.Errorf("feed has the revisions of %d kinds, want %d", n, watch.KindCount)
	}
	copy(update.Revisions[:], reply.GetRevisions())
	for _, o := range reply.GetObjects() {
		if int(o.GetKind()) >= watch.KindCount {
			return update, errors.Errorf("feed has an object of the unknown kind %d", o.GetKind())
		}
		update.Objects[o.GetKind()] = append(update.Objects[o.GetKind()], watch.Object{
			Name:     o.GetName(),
			Revision: o.GetRevision(),
			Value:    o.GetValue(),
			Deleted:  o.GetDeleted(),
		})
	}
	return update, nil
}
