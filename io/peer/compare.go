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

// Announcer exchanges with other hosts what each knows of the platform's store.
type Announcer interface {
	// Announcement returns what this host knows.
	Announcement() watch.Announcement
	// RecordAnnouncement records what another host has announced.
	RecordAnnouncement(host member.Member, a watch.Announcement)
}

// noAnnouncer is the Announcer of hosts that do not serve on the users' platform.
type noAnnouncer struct{}

func (noAnnouncer) Announcement() watch.Announcement                     { return watch.Announcement{} }
func (noAnnouncer) RecordAnnouncement(member.Member, watch.Announcement) {}

// SetAnnouncer makes pings carry the announcements of a. It must be called before the client is used.
func (c *Client) SetAnnouncer(a Announcer) { c.announcer = a }

// Compare implements watch.Peers.
func (c *Client) Compare(ctx context.Context, with member.Member, known watch.Revisions, fetch bool) (watch.Comparison, error) {
	began := time.Now()
	reply, err := c.controlClient(with.Address).Compare(ctx, newRequest(&frame.CompareRequest{
		Known:        known[:baseKinds],
		Fetch:        fetch,
		FurtherKnown: furtherRevisions(known),
	}))
	if err != nil {
		c.checkConns(ctx, with.Address, began)
		return watch.Comparison{}, errors.Wrapf(err, "compare with host %s", with.ID)
	}
	comparison, err := comparisonOf(reply.Msg, known)
	return comparison, errors.Wrapf(err, "compare with host %s", with.ID)
}

// comparisonOf decodes the reply to a host that knows each kind up to a revision. One without revisions is not full.
func comparisonOf(reply *frame.CompareReply, known watch.Revisions) (comparison watch.Comparison, err error) {
	comparison.Compared = reply.GetCompared()
	comparison.Newest, _ = revisionsOf(reply.GetNewest(), reply.GetFurtherNewest())
	addObjects(&comparison.Update, reply.GetObjects(), reply.GetFurtherObjects())
	if len(reply.GetRevisions()) == 0 {
		return comparison, nil
	}
	comparison.Update.Full, comparison.Update.After = true, known
	comparison.Update.Revisions, err = revisionsOf(reply.GetRevisions(), reply.GetFurtherRevisions())
	return comparison, err
}

// Compare implements frame.PeerHandler.
func (s *Service) Compare(_ context.Context, request *connect.Request[frame.CompareRequest]) (*connect.Response[frame.CompareReply], error) {
	if s.feeder == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, watch.ErrFeedUnavailable)
	}
	known, err := revisionsOf(request.Msg.GetKnown(), request.Msg.GetFurtherKnown())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(comparisonFrame(s.feeder.Compare(known, request.Msg.GetFetch()))), nil
}

// comparisonFrame encodes a comparison. One that is not full states no revisions, so that older hosts ignore its objects.
func comparisonFrame(comparison watch.Comparison) *frame.CompareReply {
	reply := &frame.CompareReply{
		Compared:      comparison.Compared,
		Newest:        comparison.Newest[:baseKinds],
		FurtherNewest: furtherRevisions(comparison.Newest),
	}
	reply.Objects, reply.FurtherObjects = objectFrames(comparison.Update)
	if comparison.Update.Full {
		reply.Revisions = comparison.Update.Revisions[:baseKinds]
		reply.FurtherRevisions = furtherRevisions(comparison.Update.Revisions)
	}
	return reply
}

// recordAnnouncement passes on what the sender of a ping, or of the reply to one, has announced. Hosts of older versions
// announce nothing. onWay bounds the time that it took; 0 if that isn't known, as for requests.
func (c *Client) recordAnnouncement(sender member.Member, f *frame.Member, onWay time.Duration) {
	newest, err := revisionsOf(f.GetNewest(), f.GetFurtherNewest())
	if err != nil {
		return
	}
	c.announcer.RecordAnnouncement(sender, watch.Announcement{
		Newest:   newest,
		AgeKnown: f.StoreAgeMs != nil,
		Age:      time.Duration(f.GetStoreAgeMs())*time.Millisecond + onWay,
	})
}
