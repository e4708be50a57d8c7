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
		Epoch:    after.Epoch,
		Sequence: after.Sequence,
		WaitMs:   uint32(wait.Milliseconds()),
		Known:    known[:],
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
	known, _ := revisionsOf(request.Msg.GetKnown()) // A host of an older version states none and gets all values.
	update, err := s.feeder.Feed(ctx, after, known, time.Duration(request.Msg.GetWaitMs())*time.Millisecond)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(updateFrame(update)), nil
}

func updateFrame(update watch.Update) *frame.FeedReply {
	return &frame.FeedReply{
		Epoch:     update.Position.Epoch,
		Sequence:  update.Position.Sequence,
		Whole:     update.Full,
		Revisions: update.Revisions[:],
		After:     update.After[:],
		Objects:   objectFrames(update),
	}
}

func objectFrames(update watch.Update) []*frame.FeedObject {
	var frames []*frame.FeedObject
	for kind, objects := range update.Objects {
		for _, o := range objects {
			frames = append(frames, &frame.FeedObject{
				Kind:     uint32(kind),
				Name:     o.Name,
				Revision: o.Revision,
				Value:    o.Value,
				Deleted:  o.Deleted,
			})
		}
	}
	return frames
}

func updateOf(reply *frame.FeedReply) (update watch.Update, err error) {
	update = watch.Update{
		Position: watch.Position{
			Epoch:    reply.GetEpoch(),
			Sequence: reply.GetSequence(),
		},
		Full: reply.GetWhole(),
	}
	update.After, _ = revisionsOf(reply.GetAfter()) // A host of an older version leaves out no value.
	err = addObjects(&update, reply.GetObjects(), reply.GetRevisions())
	return update, err
}

// addObjects adds the objects and revisions of a reply to an update.
func addObjects(update *watch.Update, objects []*frame.FeedObject, revisions []uint64) error {
	if n := len(revisions); n != watch.KindCount {
		return errors.Errorf("reply has the revisions of %d kinds, want %d", n, watch.KindCount)
	}
	copy(update.Revisions[:], revisions)
	for _, o := range objects {
		if int(o.GetKind()) >= watch.KindCount {
			return errors.Errorf("reply has an object of the unknown kind %d", o.GetKind())
		}
		update.Objects[o.GetKind()] = append(update.Objects[o.GetKind()], watch.Object{
			Name:     o.GetName(),
			Revision: o.GetRevision(),
			Value:    o.GetValue(),
			Deleted:  o.GetDeleted(),
		})
	}
	return nil
}
