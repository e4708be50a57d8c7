// Package peer implements the RPCs between hosts with connect-go, as client and as service; docs/PEER-PROTOCOL.md describes
// the protocol.
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
	// messageFormat is the version of the messages between hosts.
	messageFormat = 1
	// http2PingAfter is the silence after which HTTP/2 pings a connection, and http2PingTimeout the wait for its reply. They
	// detect a dead connection under a stream of sub-requests.
	http2PingAfter   = 500 * time.Millisecond
	http2PingTimeout = 700 * time.Millisecond
	// maxDifferingPings is the number of consecutive pings with differing views that are tolerated if their replies hold recent
	// updates; the next one leads to an exchange of whole views.
	maxDifferingPings = 2
	// dialTimeout bounds the opening of a connection, since the HTTP transport goes on dialling after the request that needed
	// the connection was cancelled.
	dialTimeout = time.Second
	// controlIdleTimeout is the time after which an idle connection of controlHTTP is closed.
	controlIdleTimeout = 10 * time.Second
)

// DialFunc opens a transport connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// maxMessageBytes bounds a message between hosts. The largest are full updates of the platform's store.
const maxMessageBytes = 16 << 20

// uncompressedReplies asks for replies without compression: messages are small, and compressing them would cost more than
// everything else in a call.
var uncompressedReplies = connect.WithAcceptCompression("gzip", nil, nil)

// Client calls other hosts. It implements member.Prober, syncer.Peers, watch.Peers, relay.Peers, launch.Peers,
// gather.Forwarder and shell.Asker. It is safe for concurrent use.
type Client struct {
	// controlHTTP carries pings, pulls, commands and forwarded requests on connections that are closed soon when idle, since
	// a host pings all others in turn; controlConns holds them. persistentHTTP carries sub-requests, feeds and gathers on
	// connections that stay open and are checked with HTTP/2 pings.
	controlHTTP    *http.Client
	persistentHTTP *http.Client
	controlConns   *controlConns
	scheme         string
	table          *member.Table
	config         *config.Current
	// queuePull is called with each host whose configuration differs from this host's.
	queuePull func(member.Member)
	// recordContact is called after each ping from another host, each reply to a ping and each message received on a link.
	recordContact func()
	announcer     Announcer

	// differingPings is the number of consecutive pings after which the views differed. viewBudget bounds the whole views
	// that are then sent.
	differingPings atomic.Int32
	viewBudget     viewBudget

	mu sync.Mutex
	// controlClients and persistentClients hold the RPC clients on controlHTTP and persistentHTTP by address.
	controlClients    map[string]frame.PeerClient
	persistentClients map[string]frame.PeerClient
}

// NewClient returns a client. If dial is nil, it uses TCP; if tlsConfig is nil, it uses HTTP/2 without TLS.
func NewClient(table *member.Table, current *config.Current, dial DialFunc, tlsConfig *tls.Config) *Client {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	scheme := "http://"
	if tlsConfig != nil {
		scheme = "https://"
	}
	conns := newControlConns()
	return &Client{
		controlHTTP:  newHTTP2(conns.tracked(dial), tlsConfig, controlIdleTimeout, &http.HTTP2Config{}),
		controlConns: conns,
		persistentHTTP: newHTTP2(dial, tlsConfig, 0, &http.HTTP2Config{
			SendPingTimeout: http2PingAfter,
			PingTimeout:     http2PingTimeout,
		}),
		scheme:         scheme,
		table:          table,
		config:         current,
		queuePull:      func(member.Member) {},
		recordContact:  func() {},
		announcer:      noAnnouncer{},
		controlClients: make(map[string]frame.PeerClient),

		persistentClients: make(map[string]frame.PeerClient),
	}
}

// SetSyncer sets the syncer that records contact with other hosts and pulls from hosts whose configuration differs from this
// host's. It must be called before the client is used.
func (c *Client) SetSyncer(s *syncer.Syncer) {
	c.queuePull = s.QueuePull
	c.recordContact = s.RecordContact
}

// Close closes idle connections.
func (c *Client) Close() {
	c.controlHTTP.CloseIdleConnections()
	c.persistentHTTP.CloseIdleConnections()
}

// newHTTP2 returns an HTTP client that speaks only HTTP/2. An idleTimeout of 0 keeps idle connections open.
func newHTTP2(dial DialFunc, tlsConfig *tls.Config, idleTimeout time.Duration, settings *http.HTTP2Config) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(tlsConfig != nil)
	protocols.SetUnencryptedHTTP2(tlsConfig == nil)
	return &http.Client{
		Transport: &http.Transport{
			DialContext:     withDialTimeout(dial),
			Protocols:       protocols,
			TLSClientConfig: tlsConfig,
			IdleConnTimeout: idleTimeout,
			HTTP2:           settings,
		},
	}
}

// withDialTimeout returns a dial function that fails after dialTimeout.
func withDialTimeout(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(ctx, network, address)
	}
}

// controlClient returns a client whose connection is closed soon when idle.
func (c *Client) controlClient(address string) frame.PeerClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.controlClients[address]
	if !ok {
		client = frame.NewPeerClient(c.controlHTTP, c.scheme+address, uncompressedReplies, connect.WithReadMaxBytes(maxMessageBytes))
		c.controlClients[address] = client
	}
	return client
}

// persistentClient returns a client whose connection stays open and is checked with HTTP/2 pings.
func (c *Client) persistentClient(address string) frame.PeerClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.persistentClients[address]
	if !ok {
		client = frame.NewPeerClient(c.persistentHTTP, c.scheme+address, uncompressedReplies, connect.WithReadMaxBytes(maxMessageBytes))
		c.persistentClients[address] = client
	}
	return client
}

// openExchange opens a stream that carries sub-requests and their results.
func (c *Client) openExchange(ctx context.Context, address string) *connect.BidiStreamForClient[frame.Request, frame.Reply] {
	return frame.NewPeerClient(c.persistentHTTP, c.scheme+address, uncompressedReplies, connect.WithReadMaxBytes(maxMessageBytes)).Exchange(ctx)
}

// Retain drops the RPC clients of all addresses for which wanted returns false.
func (c *Client) Retain(wanted func(address string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, clients := range []map[string]frame.PeerClient{c.controlClients, c.persistentClients} {
		for address := range clients {
			if !wanted(address) {
				delete(clients, address)
			}
		}
	}
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
	began := time.Now()
	reply, err := c.controlClient(from.Address).Pull(ctx, newRequest(request))
	if err != nil {
		c.checkConns(ctx, from.Address, began)
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
