package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/config"
	"magnoliaworks/core/gather"
	"magnoliaworks/core/query"
	"magnoliaworks/core/timer"
	"magnoliaworks/io/peer/frame"
)

// RequestRunner runs non-idempotent requests that other hosts forwarded.
type RequestRunner interface {
	// RunForwarded records a request in the ledger and runs it at most once; the error is a query.Refusal.
	RunForwarded(ctx context.Context, req query.Request) (query.Answer, error)
}

// Answerer answers operators' read-only commands that other hosts send.
type Answerer interface {
	// Answer runs a read-only command on this host and returns its output.
	Answer(ctx context.Context, command string) (string, error)
}

// Service serves the RPCs of other hosts. It implements frame.PeerHandler.
type Service struct {
	client        *Client
	executor      Executor
	requestRunner RequestRunner
	answerer      Answerer
	timer         *timer.Service
	// feeder and relay are nil on hosts that do not serve on the users' platform, launcher where there are no roll-outs, and divider
	// where allowances bind no host.
	feeder   Feeder
	relay    Relay
	launcher Launcher
	divider  Divider
}

// Options are the dependencies of a Service. Feeder and Relay are nil on hosts that do not serve on the users' platform, Launcher
// where there are no roll-outs, and Divider where allowances bind no host.
type Options struct {
	Client        *Client
	Executor      Executor
	RequestRunner RequestRunner
	Answerer      Answerer
	Timer         *timer.Service
	Feeder        Feeder
	Relay         Relay
	Launcher      Launcher
	Divider       Divider
}

// NewService returns an HTTP handler that serves the RPCs of other hosts with a Service.
func NewService(options Options) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(frame.NewPeerHandler(&Service{
		client:        options.Client,
		executor:      options.Executor,
		requestRunner: options.RequestRunner,
		answerer:      options.Answerer,
		timer:         options.Timer,
		feeder:        options.Feeder,
		relay:         options.Relay,
		launcher:      options.Launcher,
		divider:       options.Divider,
	}, connect.WithReadMaxBytes(maxMessageBytes)))
	return mux
}

// Ping implements frame.PeerHandler.
func (s *Service) Ping(ctx context.Context, request *connect.Request[frame.PingRequest]) (*connect.Response[frame.PingReply], error) {
	message := request.Msg
	if message.GetFormat() != messageFormat {
		return nil, connect.NewError(connect.CodeFailedPrecondition,
			errors.Errorf("message format %d of host %s is not supported, want %d", message.GetFormat(), message.GetSender().GetId(), messageFormat))
	}
	sender := memberOf(message.GetSender())
	s.client.recordContact()
	s.client.table.Merge(append(membersOf(message.GetNews()), sender)...)
	s.client.recordAnnouncement(sender, message.GetSender(), 0)
	if message.GetSender().GetConfigDigest() != s.client.config.State().Digest() {
		s.client.queuePull(sender)
	}
	reached := message.GetVia() != "" && s.client.ping(ctx, message.GetVia(), "") == nil
	view := s.client.table.View()
	updates := s.client.table.NextUpdates()
	if message.GetWhole() {
		updates = view.Members()
	}
	return connect.NewResponse(&frame.PingReply{
		Sender:     s.client.selfFrame(),
		ViewDigest: view.Digest(),
		News:       memberFrames(updates),
		Reached:    reached,
	}), nil
}

// Pull implements frame.PeerHandler.
func (s *Service) Pull(_ context.Context, request *connect.Request[frame.PullRequest]) (*connect.Response[frame.PullReply], error) {
	have := make([]config.ScopeVersion, len(request.Msg.GetHave()))
	for i, h := range request.Msg.GetHave() {
		have[i] = config.ScopeVersion{
			Scope:   h.GetScope(),
			Version: h.GetVersion(),
		}
	}
	reply := &frame.PullReply{}
	for _, o := range s.client.config.State().NewerThan(have) {
		reply.Objects = append(reply.Objects, &frame.ConfigObject{
			Scope:   o.Scope,
			Version: o.Version,
			Value:   o.Encode(),
		})
	}
	return connect.NewResponse(reply), nil
}

// Exchange implements frame.PeerHandler.
func (s *Service) Exchange(ctx context.Context, stream *connect.BidiStream[frame.Request, frame.Reply]) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	out := newOutbox(s.client)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return out.run(ctx, stream) })
	err := s.receive(stream, out)
	cancel()
	_ = group.Wait()
	out.cancelAll()
	return err
}

// receive submits and cancels sub-requests as they arrive, until the stream ends; the end of a stream is not an error.
func (s *Service) receive(stream *connect.BidiStream[frame.Request, frame.Reply], out *outbox) error {
	for {
		request, err := stream.Receive()
		if err != nil {
			return nil
		}
		now := time.Now()
		for _, sub := range request.GetSubs() {
			out.submit(s.executor, sub, now)
		}
		for _, sequence := range request.GetCancelled() {
			out.cancel(sequence)
		}
	}
}

// outbox holds the sub-requests in progress of one stream and sends their results in batches.
type outbox struct {
	client *Client
	wake   chan struct{}

	mu          sync.Mutex
	results     []*frame.Result
	cancelFuncs map[uint64]func()
}

func newOutbox(c *Client) *outbox {
	return &outbox{
		client:      c,
		wake:        make(chan struct{}, 1),
		cancelFuncs: make(map[uint64]func()),
	}
}

// submit starts a sub-request. It registers an empty cancel function first, since the result may arrive before
// executor.Submit returns the real one.
func (o *outbox) submit(executor Executor, sub *frame.Sub, now time.Time) {
	sequence := sub.GetSequence()
	o.mu.Lock()
	o.cancelFuncs[sequence] = func() {}
	o.mu.Unlock()
	cancel := executor.Submit(subRequestOf(sub, now), func(result query.Result) {
		o.enqueue(resultFrame(sequence, result))
	})
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, running := o.cancelFuncs[sequence]; running {
		o.cancelFuncs[sequence] = cancel
	}
}

func (o *outbox) enqueue(r *frame.Result) {
	o.mu.Lock()
	delete(o.cancelFuncs, r.GetSequence())
	o.results = append(o.results, r)
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *outbox) cancel(sequence uint64) {
	o.mu.Lock()
	cancel, ok := o.cancelFuncs[sequence]
	delete(o.cancelFuncs, sequence)
	o.mu.Unlock()
	if ok {
		cancel()
	}
}

// cancelAll cancels the sub-requests of a lost stream. That does not stop a non-idempotent request, which its server
// already has.
func (o *outbox) cancelAll() {
	o.mu.Lock()
	cancelFuncs := o.cancelFuncs
	o.cancelFuncs = make(map[uint64]func())
	o.mu.Unlock()
	for _, cancel := range cancelFuncs {
		cancel()
	}
}

// run sends results until ctx ends; each message holds all results that are ready.
func (o *outbox) run(ctx context.Context, stream *connect.BidiStream[frame.Request, frame.Reply]) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-o.wake:
		}
		o.mu.Lock()
		results := o.results
		o.results = nil
		o.mu.Unlock()
		reply := &frame.Reply{
			Results:      results,
			ConfigDigest: o.client.config.State().Digest(),
		}
		if err := stream.Send(reply); err != nil {
			return errors.Wrap(err, "send results to a host")
		}
	}
}

var _ gather.Sender = (*Links)(nil)
