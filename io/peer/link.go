package peer

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/gather"
	"magnoliaworks/core/member"
	"magnoliaworks/core/query"
	"magnoliaworks/core/timer"
	"magnoliaworks/io/peer/frame"
)

const (
	// maxBatch is the largest number of sub-requests in one message.
	maxBatch = 256
	// minReconnectDelay and maxReconnectDelay bound the backoff before a broken stream is opened again. A stream that lasted
	// longer than maxReconnectDelay resets it.
	minReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay = time.Second
	// linkIdleTimeout is the time after which a link without sub-requests ends.
	linkIdleTimeout = 5 * time.Minute
)

// link carries sub-requests to one host. Its goroutine keeps a stream open and sends queued sub-requests in batches.
type link struct {
	client *Client
	peer   member.Member
	wake   chan struct{}

	mu             sync.Mutex
	lastSequence   uint64
	pending        []*frame.Sub
	pendingCancels []uint64
	outstanding    map[uint64]*outstandingSub
	// broken is set from the loss of a stream until the attempt to open the next one; sub-requests are refused meanwhile.
	broken   bool
	lastUsed time.Time
	ended    bool
}

func newLink(c *Client, peer member.Member) *link {
	return &link{
		client:      c,
		peer:        peer,
		wake:        make(chan struct{}, 1),
		outstanding: make(map[uint64]*outstandingSub),
		lastUsed:    time.Now(),
	}
}

// send queues a sub-request whose result goes to inbox; while the link is broken, the result is NotExecuted at once.
// ok is false if the link has ended.
func (l *link) send(sub query.SubRequest, token int, inbox chan<- gather.Completion) (cancel func(), ok bool) {
	l.mu.Lock()
	if l.ended {
		l.mu.Unlock()
		return nil, false
	}
	if l.broken {
		l.mu.Unlock()
		inbox <- gather.Completion{
			Token: token,
			Result: query.NotExecuted{
				Reason: "home host " + l.peer.ID + " is not connected",
			},
		}
		return func() {}, true
	}
	l.lastSequence++
	sequence := l.lastSequence
	l.lastUsed = time.Now()
	l.pending = append(l.pending, subFrame(sequence, sub))
	l.outstanding[sequence] = &outstandingSub{
		token: token,
		shard: sub.Shard,
		inbox: inbox,
	}
	l.mu.Unlock()
	l.wakeWriter()
	return func() { l.cancel(sequence) }, true
}

func (l *link) wakeWriter() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// cancel removes a sub-request from the queue or, if it may have been sent, queues its cancellation.
// The result of a cancelled sub-request is dropped.
func (l *link) cancel(sequence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sub, ok := l.outstanding[sequence]
	if !ok {
		return
	}
	delete(l.outstanding, sequence)
	if sub.maybeSent {
		l.pendingCancels = append(l.pendingCancels, sequence)
		l.wakeWriter()
		return
	}
	for i, s := range l.pending {
		if s.GetSequence() == sequence {
			l.pending = append(l.pending[:i], l.pending[i+1:]...)
			return
		}
	}
}

// run keeps a stream open until ctx ends or the link is idle, with exponential backoff between streams.
func (l *link) run(ctx context.Context) error {
	delay := minReconnectDelay
	for ctx.Err() == nil && !l.endIfIdle() {
		opened := time.Now()
		err := l.runStream(ctx)
		l.failOutstanding(err)
		if time.Since(opened) > maxReconnectDelay {
			delay = minReconnectDelay
		}
		_ = timer.Sleep(ctx, delay)
		delay = min(2*delay, maxReconnectDelay)
		l.clearBroken()
	}
	l.end()
	return nil
}

// runStream runs one stream until it breaks. Its error says why.
func (l *link) runStream(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	stream := l.client.openExchange(ctx, l.peer.Address)
	group.Go(func() error { return l.write(ctx, stream) })
	group.Go(func() error { return l.read(stream) })
	group.Go(func() error {
		<-ctx.Done()
		_ = stream.CloseRequest()
		return stream.CloseResponse()
	})
	return group.Wait()
}

// write sends queued sub-requests and cancellations until the stream breaks, ctx ends or nothing was queued for
// linkIdleTimeout. It first sends a message without sub-requests, which opens the stream and carries the digest of the
// configuration.
func (l *link) write(ctx context.Context, stream *connect.BidiStreamForClient[frame.Request, frame.Reply]) error {
	if err := stream.Send(&frame.Request{
		ConfigDigest: l.client.config.State().Digest(),
	}); err != nil {
		return errors.Wrapf(err, "open stream to host %s", l.peer.ID)
	}
	idle := time.NewTimer(linkIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-idle.C:
			return errors.Errorf("stream to host %s is idle", l.peer.ID)
		case <-l.wake:
		}
		for {
			request := l.nextBatch()
			if request == nil {
				break
			}
			if err := stream.Send(request); err != nil {
				return errors.Wrapf(err, "send to host %s", l.peer.ID)
			}
		}
		idle.Reset(linkIdleTimeout)
	}
}

// nextBatch returns queued sub-requests and cancellations as one message and marks the sub-requests as maybe sent.
// It returns nil if nothing is queued.
func (l *link) nextBatch() *frame.Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) == 0 && len(l.pendingCancels) == 0 {
		return nil
	}
	n := min(len(l.pending), maxBatch)
	request := &frame.Request{
		Subs:         append([]*frame.Sub(nil), l.pending[:n]...),
		Cancelled:    l.pendingCancels,
		ConfigDigest: l.client.config.State().Digest(),
	}
	l.pending = l.pending[n:]
	l.pendingCancels = nil
	for _, s := range request.GetSubs() {
		if sub, ok := l.outstanding[s.GetSequence()]; ok {
			sub.maybeSent = true
		}
	}
	return request
}

func (l *link) read(stream *connect.BidiStreamForClient[frame.Request, frame.Reply]) error {
	for {
		reply, err := stream.Receive()
		if err != nil {
			return errors.Wrapf(err, "receive from host %s", l.peer.ID)
		}
		l.client.recordContact()
		if reply.GetConfigDigest() != l.client.config.State().Digest() {
			l.client.queuePull(l.peer)
		}
		for _, r := range reply.GetResults() {
			l.deliver(r)
		}
	}
}

func (l *link) deliver(r *frame.Result) {
	l.mu.Lock()
	sub, ok := l.outstanding[r.GetSequence()]
	delete(l.outstanding, r.GetSequence())
	l.mu.Unlock()
	if !ok {
		return
	}
	sub.inbox <- gather.Completion{
		Token:  sub.token,
		Result: resultOf(r, sub.shard),
	}
}

// failOutstanding ends all outstanding sub-requests after the loss of the stream: those that were still queued have not run,
// the others may have run.
func (l *link) failOutstanding(err error) {
	l.mu.Lock()
	outstanding := l.outstanding
	l.outstanding = make(map[uint64]*outstandingSub)
	l.pending, l.pendingCancels = nil, nil
	l.broken = true
	l.mu.Unlock()
	for _, sub := range outstanding {
		sub.inbox <- gather.Completion{
			Token:  sub.token,
			Result: sub.resultWithoutReply(err),
		}
	}
}

// clearBroken lets sub-requests be queued again.
func (l *link) clearBroken() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = false
}

// endIfIdle ends the link if it is idle, and reports whether it has ended.
func (l *link) endIfIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.outstanding) == 0 && time.Since(l.lastUsed) > linkIdleTimeout {
		l.ended = true
	}
	return l.ended
}

func (l *link) end() {
	l.mu.Lock()
	l.ended = true
	l.mu.Unlock()
	l.failOutstanding(errors.New("host stopped"))
}
