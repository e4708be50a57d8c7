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
	"magnoliaworks/io/peer/frame"
)

// RequestRunner runs requests that may not be repeated for other hosts.
type RequestRunner interface {
	// RunForwarded records and runs a request; the error is a query.Refusal.
	RunForwarded(ctx context.Context, req query.Request) (query.Answer, error)
}

// Answerer answers operators' read-only commands for other hosts.
type Answerer interface {
	// Answer returns the text of this host's answer.
	Answer(ctx context.Context, command string) (string, error)
}

// Service answers other hosts. It implements frame.PeerHandler.
type Service struct {
	client   *Client
	worker   Executor
	writer   RequestRunner
	answerer Answerer
	// feeder and gatherer are nil on hosts that do not serve on the users' platform.
	feeder   Feeder
	gatherer Gatherer
}

// Options are what a Service works with. Feeder and Gatherer are nil on hosts that do not serve on the users' platform.
type Options struct {
	Client        *Client
	Executor      Executor
	RequestRunner RequestRunner
	Answerer      Answerer
	Feeder        Feeder
	Gatherer      Gatherer
}

// NewService returns the handler of the peer listener.
func NewService(parts Options) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(frame.NewPeerHandler(&Service{
		client:   parts.Client,
		worker:   parts.Executor,
		writer:   parts.RequestRunner,
		answerer: parts.Answerer,
		feeder:   parts.Feeder,
		gatherer: parts.Gatherer,
	}))
	return mux
}

// Ping implements frame.PeerHandler.
func (s *Service) Ping(ctx context.Context, request *connect.Request[frame.PingRequest]) (*connect.Response[frame.PingReply], error) {
	message := request.Msg
	if message.GetFormat() != format {
		return nil, connect.NewError(connect.CodeFailedPrecondition,
			errors.Errorf("message format %d of host %s is not known, known is %d", message.GetFormat(), message.GetSender().GetId(), format))
	}
	sender := memberOf(message.GetSender())
	s.client.recordContact()
	s.client.table.Merge(append(membersOf(message.GetNews()), sender)...)
	if message.GetSender().GetConfigDigest() != s.client.state.State().Digest() {
		s.client.queuePull(sender)
	}
	reached := message.GetVia() != "" && s.client.ping(ctx, message.GetVia(), "") == nil
	view := s.client.table.View()
	news := s.client.table.NextUpdates()
	if message.GetWhole() {
		news = view.Members()
	}
	return connect.NewResponse(&frame.PingReply{
		Sender:     selfMember(s.client.table, s.client.state),
		ViewDigest: view.Digest(),
		News:       memberFrames(news),
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
	for _, o := range s.client.state.State().NewerThan(have) {
		reply.Objects = append(reply.Objects, &frame.ConfigObject{
			Scope:   o.Scope,
			Version: o.Version,
			Value:   o.Encode(),
		})
	}
	return connect.NewResponse(reply), nil
}

// Ask implements frame.PeerHandler.
func (s *Service) Ask(ctx context.Context, request *connect.Request[frame.AskRequest]) (*connect.Response[frame.AskReply], error) {
	text, err := s.answerer.Answer(ctx, request.Msg.GetCommand())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(&frame.AskReply{
		Text: text,
	}), nil
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

func (s *Service) receive(stream *connect.BidiStream[frame.Request, frame.Reply], out *outbox) error {
	for {
		request, err := stream.Receive()
		if err != nil {
			return nil
		}
		now := time.Now()
		for _, sub := range request.GetSubs() {
			out.submit(s.worker, sub, now)
		}
		for _, sequence := range request.GetCancelled() {
			out.cancel(sequence)
		}
	}
}

// outbox gathers the results for one stream into frames.
type outbox struct {
	client *Client
	wake   chan struct{}

	mu      sync.Mutex
	results []*frame.Result
	running map[uint64]func()
}

func newOutbox(c *Client) *outbox {
	return &outbox{
		client:  c,
		wake:    make(chan struct{}, 1),
		running: make(map[uint64]func()),
	}
}

func (o *outbox) submit(worker Executor, sub *frame.Sub, now time.Time) {
	sequence := sub.GetSequence()
	o.mu.Lock()
	o.running[sequence] = func() {}
	o.mu.Unlock()
	cancel := worker.Submit(subOf(sub, now), func(result query.Result) {
		o.put(resultFrame(sequence, result))
	})
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, running := o.running[sequence]; running {
		o.running[sequence] = cancel
	}
}

func (o *outbox) put(r *frame.Result) {
	o.mu.Lock()
	delete(o.running, r.GetSequence())
	o.results = append(o.results, r)
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *outbox) cancel(sequence uint64) {
	o.mu.Lock()
	cancel, ok := o.running[sequence]
	delete(o.running, sequence)
	o.mu.Unlock()
	if ok {
		cancel()
	}
}

// cancelAll ends interest in everything that the lost stream asked for.
// A request that may not be repeated is not stopped by that: its server has it already.
func (o *outbox) cancelAll() {
	o.mu.Lock()
	running := o.running
	o.running = make(map[uint64]func())
	o.mu.Unlock()
	for _, cancel := range running {
		cancel()
	}
}

// run sends the results that wait, one frame after the other.
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
			ConfigDigest: o.client.state.State().Digest(),
		}
		if err := stream.Send(reply); err != nil {
			return errors.Wrap(err, "send results to a host")
		}
	}
}

var _ gather.Sender = (*Links)(nil)
