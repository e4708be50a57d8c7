// Package peer carries messages between hosts over connect-go; docs/PEER-PROTOCOL.md describes them.
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"magnoliaworks/core/config"
	"magnoliaworks/core/member"
	"magnoliaworks/core/syncer"
	"magnoliaworks/io/peer/frame"
)

const (
	// format is the version of the messages between hosts.
	format = 1
	// pingAfter and pingTimeout let HTTP/2 find a silent connection under a stream of sub-requests.
	pingAfter   = 500 * time.Millisecond
	pingTimeout = 700 * time.Millisecond
	// patientPings is the number of pings in a row with differing views after which whole views are exchanged.
	patientPings = 2
	// dialTimeout bounds the opening of a connection; the transport keeps on dialling after its request has been given up.
	dialTimeout = time.Second
	// controlIdle is the time after which a connection that carried a ping or a pull is closed.
	controlIdle = 10 * time.Second
)

// DialFunc opens a transport connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// plainReplies asks for replies without compression: frames are small, and compressing them costs more than all else.
var plainReplies = connect.WithAcceptCompression("gzip", nil, nil)

// Client sends messages to other hosts. It implements member.Prober and syncer.Peers.
type Client struct {
	// control carries pings and pulls on connections that end soon, since a host pings all others in turn.
	// streams carries sub-requests on connections that are watched.
	control *http.Client
	streams *http.Client
	scheme  string
	table   *member.Table
	state   *config.Register
	// queuePull is told of peers with another configuration.
	queuePull func(member.Member)
	// recordContact is called after each reply.
	recordContact func()

	// differing counts pings in a row after which the views still differed; views bounds what is done about that.
	differing atomic.Int32
	views     allowance

	mu sync.Mutex
	// peers carry control messages, lastingPeers calls on connections that stay open and are watched.
	peers        map[string]frame.PeerClient
	lastingPeers map[string]frame.PeerClient
}

// NewClient returns a client; a nil dial means TCP and a nil tls means plain HTTP/2.
func NewClient(table *member.Table, state *config.Register, dial DialFunc, tls *tls.Config) *Client {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	scheme := "http://"
	if tls != nil {
		scheme = "https://"
	}
	return &Client{
		control: newHTTP(dial, tls, controlIdle, &http.HTTP2Config{}),
		streams: newHTTP(dial, tls, 0, &http.HTTP2Config{
			SendPingTimeout: pingAfter,
			PingTimeout:     pingTimeout,
		}),
		scheme:        scheme,
		table:         table,
		state:         state,
		queuePull:     func(member.Member) {},
		recordContact: func() {},
		peers:         make(map[string]frame.PeerClient),

		lastingPeers: make(map[string]frame.PeerClient),
	}
}

// SetSyncer sends news about configurations and contacts to s. It is called before the client is used.
func (c *Client) SetSyncer(s *syncer.Syncer) {
	c.queuePull = s.QueuePull
	c.recordContact = s.RecordContact
}

// Close ends idle connections.
func (c *Client) Close() {
	c.control.CloseIdleConnections()
	c.streams.CloseIdleConnections()
}

// newHTTP returns a client of HTTP/2 only.
func newHTTP(dial DialFunc, tls *tls.Config, idle time.Duration, settings *http.HTTP2Config) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(tls != nil)
	protocols.SetUnencryptedHTTP2(tls == nil)
	return &http.Client{
		Transport: &http.Transport{
			DialContext:     bounded(dial),
			Protocols:       protocols,
			TLSClientConfig: tls,
			IdleConnTimeout: idle,
			HTTP2:           settings,
		},
	}
}

// bounded returns a dial that ends after the timeout.
func bounded(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(ctx, network, address)
	}
}

func (c *Client) peer(address string) frame.PeerClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[address]
	if !ok {
		p = frame.NewPeerClient(c.control, c.scheme+address, plainReplies)
		c.peers[address] = p
	}
	return p
}

// lasting returns a client whose connection stays open.
func (c *Client) lasting(address string) frame.PeerClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.lastingPeers[address]
	if !ok {
		p = frame.NewPeerClient(c.streams, c.scheme+address, plainReplies)
		c.lastingPeers[address] = p
	}
	return p
}

// exchange opens a stream of sub-requests.
func (c *Client) exchange(ctx context.Context, address string) *connect.BidiStreamForClient[frame.Request, frame.Reply] {
	return frame.NewPeerClient(c.streams, c.scheme+address, plainReplies).Exchange(ctx)
}

// Retain drops what is kept for addresses for which wanted returns false.
func (c *Client) Retain(wanted func(address string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, peers := range []map[string]frame.PeerClient{c.peers, c.lastingPeers} {
		for address := range peers {
			if !wanted(address) {
				delete(peers, address)
			}
		}
	}
}

// Ping implements member.Prober.
func (c *Client) Ping(ctx context.Context, to member.Member) error {
	return c.ping(ctx, to.Address, "")
}

// PingVia implements member.Prober.
func (c *Client) PingVia(ctx context.Context, via, to member.Member) error {
	return c.ping(ctx, via.Address, to.Address)
}

// Join asks the host at address for the whole view.
func (c *Client) Join(ctx context.Context, address string) error {
	return c.ping(ctx, address, "")
}

func (c *Client) ping(ctx context.Context, address, via string) error {
	view := c.table.View()
	request := &frame.PingRequest{
		Sender:     selfMember(c.table, c.state),
		ViewDigest: view.Digest(),
		News:       memberFrames(c.table.NextUpdates()),
		Via:        via,
		Whole:      len(view.Members()) == 1,
		Format:     format,
	}
	reply, err := c.peer(address).Ping(ctx, newRequest(request))
	if err != nil {
		return errors.Wrapf(err, "ping host at %s", address)
	}
	sender := c.take(reply.Msg)
	if via != "" && !reply.Msg.GetReached() {
		return errors.Errorf("host at %s does not reach %s", address, via)
	}
	if via != "" {
		return nil
	}
	return c.compare(ctx, sender, reply.Msg)
}

// compare counts pings after which the views still differ, and sends the whole view when recent news do not explain that.
func (c *Client) compare(ctx context.Context, sender member.Member, reply *frame.PingReply) error {
	if reply.GetViewDigest() == c.table.View().Digest() {
		c.differing.Store(0)
		return nil
	}
	if c.differing.Add(1) <= patientPings && len(reply.GetNews()) > 0 {
		return nil
	}
	if !c.views.take(len(c.table.View().Members()), time.Now()) {
		return nil
	}
	return c.pushView(ctx, sender.Address)
}

// pushView sends the whole view to a host whose view differs for a reason that recent news do not explain.
func (c *Client) pushView(ctx context.Context, address string) error {
	reply, err := c.peer(address).Ping(ctx, newRequest(&frame.PingRequest{
		Sender:     selfMember(c.table, c.state),
		ViewDigest: c.table.View().Digest(),
		News:       memberFrames(c.table.View().Members()),
		Whole:      true,
		Format:     format,
	}))
	if err != nil {
		return errors.Wrapf(err, "send view to host at %s", address)
	}
	c.take(reply.Msg)
	return nil
}

func (c *Client) take(reply *frame.PingReply) member.Member {
	c.recordContact()
	sender := memberOf(reply.GetSender())
	c.table.Merge(append(membersOf(reply.GetNews()), sender)...)
	if reply.GetSender().GetConfigDigest() != c.state.State().Digest() {
		c.queuePull(sender)
	}
	return sender
}

// Pull implements syncer.Peers.
func (c *Client) Pull(ctx context.Context, from member.Member, have []config.ScopeVersion) ([]config.Object, error) {
	request := &frame.PullRequest{
		Have: make([]*frame.ScopeVersion, len(have)),
	}
	for i, h := range have {
		request.Have[i] = &frame.ScopeVersion{
			Scope:   h.Scope,
			Version: h.Version,
		}
	}
	reply, err := c.peer(from.Address).Pull(ctx, newRequest(request))
	if err != nil {
		return nil, errors.Wrapf(err, "pull configuration from host %s", from.ID)
	}
	objects := make([]config.Object, 0, len(reply.Msg.GetObjects()))
	for _, o := range reply.Msg.GetObjects() {
		object, err := config.DecodePeer(o.GetScope(), o.GetValue())
		if err != nil {
			return nil, errors.Wrapf(err, "pull configuration from host %s", from.ID)
		}
		objects = append(objects, object)
	}
	return objects, nil
}

// Ask runs an operator's read-only command on another host and returns its text.
func (c *Client) Ask(ctx context.Context, to member.Member, command string) (string, error) {
	reply, err := c.peer(to.Address).Ask(ctx, newRequest(&frame.AskRequest{
		Command: command,
	}))
	if err != nil {
		return "", errors.Wrapf(err, "ask host %s", to.ID)
	}
	return reply.Msg.GetText(), nil
}
