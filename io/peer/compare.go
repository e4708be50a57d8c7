package peer

import (
	"context"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"magnoliaworks/core/member"
	"magnoliaworks/core/watch"
	"magnoliaworks/io/peer/frame"
)

// Announcer exchanges with other hosts what each knows of the platform's store.
type Announcer interface {
	// Newest returns the revisions of the newest objects that this host knows.
	Newest() watch.Revisions
	// RecordAnnouncement records those that another host has announced.
	RecordAnnouncement(host member.Member, newest watch.Revisions)
}

// noAnnouncer is the Announcer of hosts that do not serve on the users' platform.
type noAnnouncer struct{}

func (noAnnouncer) Newest() watch.Revisions                           { return watch.Revisions{} }
func (noAnnouncer) RecordAnnouncement(member.Member, watch.Revisions) {}

// SetAnnouncer makes pings carry the announcements of a. It must be called before the client is used.
func (c *Client) SetAnnouncer(a Announcer) { c.announcer = a }

// Compare implements watch.Peers.
func (c *Client) Compare(ctx context.Context, with member.Member, known watch.Revisions, fetch bool) (watch.Comparison, error) {
	reply, err := c.controlClient(with.Address).Compare(ctx, newRequest(&frame.CompareRequest{
		Known: known[:],
		Fetch: fetch,
	}))
	if err != nil {
		return watch.Comparison{}, errors.Wrapf(err, "compare with host %s", with.ID)
	}
	comparison := watch.Comparison{
		Compared: reply.Msg.GetCompared(),
	}
	comparison.Newest, _ = revisionsOf(reply.Msg.GetNewest())
	if len(reply.Msg.GetRevisions()) == 0 {
		return comparison, nil
	}
	comparison.Update.Full, comparison.Update.After = true, known
	err = addObjects(&comparison.Update, reply.Msg.GetObjects(), reply.Msg.GetRevisions())
	return comparison, errors.Wrapf(err, "compare with host %s", with.ID)
}

// Compare implements frame.PeerHandler.
func (s *Service) Compare(_ context.Context, request *connect.Request[frame.CompareRequest]) (*connect.Response[frame.CompareReply], error) {
	if s.feeder == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, watch.ErrFeedUnavailable)
	}
	known, ok := revisionsOf(request.Msg.GetKnown())
	if !ok {
		return nil, connect.NewError(connect.CodeInvalidArgument,
			errors.Errorf("request has the revisions of %d kinds, want %d", len(request.Msg.GetKnown()), watch.KindCount))
	}
	comparison := s.feeder.Compare(known, request.Msg.GetFetch())
	reply := &frame.CompareReply{
		Compared: comparison.Compared,
		Newest:   comparison.Newest[:],
	}
	if comparison.Update.Full {
		reply.Objects = objectFrames(comparison.Update)
		reply.Revisions = comparison.Update.Revisions[:]
	}
	return connect.NewResponse(reply), nil
}

// recordAnnouncement passes on what the sender of a ping, or of the reply to one, has announced. Hosts of older versions
// announce nothing.
func (c *Client) recordAnnouncement(sender member.Member, f *frame.Member) {
	if newest, ok := revisionsOf(f.GetNewest()); ok {
		c.announcer.RecordAnnouncement(sender, newest)
	}
}

// revisionsOf decodes a revision for each kind; ok is false if there is another number of them.
func revisionsOf(list []uint64) (revisions watch.Revisions, ok bool) {
	if len(list) != watch.KindCount {
		return revisions, false
	}
	copy(revisions[:], list)
	return revisions, true
}
