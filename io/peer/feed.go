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
	// Feed returns the changes after a position. If there are none, it waits for them for up to the given time. A full
	// update lacks the values up to the known revisions.
	Feed(ctx context.Context, after watch.Position, known watch.Revisions, wait time.Duration) (watch.Update, error)
	// Compare returns what this host knows to a host that knows each kind up to a revision; with fetch also all objects if
	// some are newer.
	Compare(known watch.Revisions, fetch bool) watch.Comparison
}

// Feed implements watch.Peers.
func (c *Client) Feed(ctx context.Context, from member.Member, after watch.Position, known watch.Revisions, wait time.Duration) (watch.Update, error) {
	reply, err := c.persistentClient(from.Address).Feed(ctx, newRequest(&frame.FeedRequest{
		Epoch:        after.Epoch,
		Sequence:     after.Sequence,
		WaitMs:       uint32(wait.Milliseconds()),
		Known:        known[:baseKinds],
		FurtherKnown: furtherRevisions(known),
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
	known, _ := revisionsOf(request.Msg.GetKnown(), request.Msg.GetFurtherKnown()) // A host of an older version states none and gets all values.
	update, err := s.feeder.Feed(ctx, after, known, time.Duration(request.Msg.GetWaitMs())*time.Millisecond)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(updateFrame(update)), nil
}

func updateFrame(update watch.Update) *frame.FeedReply {
	reply := &frame.FeedReply{
		Epoch:            update.Position.Epoch,
		Sequence:         update.Position.Sequence,
		Whole:            update.Full,
		Revisions:        update.Revisions[:baseKinds],
		After:            update.After[:baseKinds],
		FurtherRevisions: furtherRevisions(update.Revisions),
		FurtherAfter:     furtherRevisions(update.After),
	}
	reply.Objects, reply.FurtherObjects = objectFrames(update)
	return reply
}

func updateOf(reply *frame.FeedReply) (update watch.Update, err error) {
	update = watch.Update{
		Position: watch.Position{
			Epoch:    reply.GetEpoch(),
			Sequence: reply.GetSequence(),
		},
		Full: reply.GetWhole(),
	}
	update.After, _ = revisionsOf(reply.GetAfter(), reply.GetFurtherAfter()) // A host of an older version leaves out no value.
	update.Revisions, err = revisionsOf(reply.GetRevisions(), reply.GetFurtherRevisions())
	addObjects(&update, reply.GetObjects(), reply.GetFurtherObjects())
	return update, err
}
