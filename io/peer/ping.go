package peer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/core/member"
	"magnoliaworks/io/peer/frame"
)

// Ping implements member.Prober.
func (c *Client) Ping(ctx context.Context, to member.Member) error {
	return c.ping(ctx, to.Address, "")
}

// PingVia implements member.Prober.
func (c *Client) PingVia(ctx context.Context, via, to member.Member) error {
	return c.ping(ctx, via.Address, to.Address)
}

// Join pings the host at address. The reply holds that host's whole view if this host knows no other hosts.
func (c *Client) Join(ctx context.Context, address string) error {
	return c.ping(ctx, address, "")
}

// ping sends recent membership updates to the host at address and merges those in the reply. If target is set, the host at
// address pings the host at target and reports whether it was reached; views are not compared then.
func (c *Client) ping(ctx context.Context, address, target string) error {
	view := c.table.View()
	request := &frame.PingRequest{
		Sender:     c.selfFrame(),
		ViewDigest: view.Digest(),
		News:       memberFrames(c.table.NextUpdates()),
		Via:        target,
		Whole:      len(view.Members()) == 1,
		Format:     messageFormat,
	}
	sentAt := time.Now()
	reply, err := c.controlClient(address).Ping(ctx, newRequest(request))
	if err != nil {
		// A host that pings another one first may take until ctx ends.
		if target == "" {
			c.checkConns(ctx, address, sentAt)
		}
		return errors.Wrapf(err, "ping host at %s", address)
	}
	sender := c.mergeReply(reply.Msg, sentAt)
	if target != "" && !reply.Msg.GetReached() {
		return errors.Errorf("host at %s does not reach %s", address, target)
	}
	if target != "" {
		return nil
	}
	return c.reconcileViews(ctx, sender, reply.Msg)
}

// checkConns checks the connections to a host if a call to it, made at began, has failed since ctx has passed its deadline.
func (c *Client) checkConns(ctx context.Context, address string, began time.Time) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.controlConns.suspect(address, began)
	}
}

// reconcileViews counts consecutive pings after which the views differ. It sends the whole view when the reply holds no
// recent updates that may explain the difference, or when the count exceeds maxDifferingPings, as far as the budget permits.
func (c *Client) reconcileViews(ctx context.Context, sender member.Member, reply *frame.PingReply) error {
	if reply.GetViewDigest() == c.table.View().Digest() {
		c.differingPings.Store(0)
		return nil
	}
	if c.differingPings.Add(1) <= maxDifferingPings && len(reply.GetNews()) > 0 {
		return nil
	}
	if !c.viewBudget.allow(len(c.table.View().Members()), time.Now()) {
		return nil
	}
	return c.sendView(ctx, sender.Address)
}

// sendView sends the whole view to a host and merges the whole view that it returns.
func (c *Client) sendView(ctx context.Context, address string) error {
	sentAt := time.Now()
	reply, err := c.controlClient(address).Ping(ctx, newRequest(&frame.PingRequest{
		Sender:     c.selfFrame(),
		ViewDigest: c.table.View().Digest(),
		News:       memberFrames(c.table.View().Members()),
		Whole:      true,
		Format:     messageFormat,
	}))
	if err != nil {
		c.checkConns(ctx, address, sentAt)
		return errors.Wrapf(err, "send view to host at %s", address)
	}
	c.mergeReply(reply.Msg, sentAt)
	return nil
}

// mergeReply merges the updates in the reply to a ping that was sent at a time, queues a pull if the sender's configuration differs
// from this host's, and returns the sender.
func (c *Client) mergeReply(reply *frame.PingReply, sentAt time.Time) member.Member {
	c.recordContact()
	sender := memberOf(reply.GetSender())
	c.table.Merge(append(membersOf(reply.GetNews()), sender)...)
	c.recordAnnouncement(sender, reply.GetSender(), time.Since(sentAt))
	if reply.GetSender().GetConfigDigest() != c.config.State().Digest() {
		c.queuePull(sender)
	}
	return sender
}
