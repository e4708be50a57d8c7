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
	// maxFrame bounds the sub-requests of one frame.
	maxFrame = 256
	// relinkMin and relinkMax bound the wait before a broken link is opened again.
	relinkMin = 50 * time.Millisecond
	relinkMax = time.Second
	// linkIdle is the time after which a link without sub-requests is closed.
	linkIdle = 5 * time.Minute
)

// link carries sub-requests to one host. A task of its own keeps the stream open and gathers what waits into frames.
type link struct {
	client *Client
	peer   member.Member
	wake   chan struct{}

	mu      sync.Mutex
	next    uint64
	pending []*frame.Sub
	cancels []uint64
	waiting map[uint64]*waiter
	// broken is set from the loss of a stream until the next one is open.
	broken bool
	used   time.Time
	ended  bool
}

func newLink(c *Client, peer member.Member) *link {
	return &link{
		client:  c,
		peer:    peer,
		wake:    make(chan struct{}, 1),
		waiting: make(map[uint64]*waiter),
		used:    time.Now(),
	}
}

// send queues a sub-request; it reports false when the link has ended.
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
				Reason: "home host " + l.peer.ID + " is not reached",
			},
		}
		return func() {}, true
	}
	l.next++
	sequence := l.next
	l.used = time.Now()
	l.pending = append(l.pending, subFrame(sequence, sub))
	l.waiting[sequence] = &waiter{
		token: token,
		shard: sub.Shard,
		inbox: inbox,
	}
	l.mu.Unlock()
	l.signal()
	return func() { l.cancel(sequence) }, true
}

func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *link) cancel(sequence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, ok := l.waiting[sequence]
	if !ok {
		return
	}
	delete(l.waiting, sequence)
	if w.left {
		l.cancels = append(l.cancels, sequence)
		l.signal()
		return
	}
	for i, s := range l.pending {
		if s.GetSequence() == sequence {
			l.pending = append(l.pending[:i], l.pending[i+1:]...)
			return
		}
	}
}

// run keeps a stream open until ctx ends or the link is idle.
func (l *link) run(ctx context.Context) error {
	wait := relinkMin
	for ctx.Err() == nil && !l.endIfIdle() {
		opened := time.Now()
		err := l.stream(ctx)
		l.fail(err)
		if time.Since(opened) > relinkMax {
			wait = relinkMin
		}
		_ = timer.Sleep(ctx, wait)
		wait = min(2*wait, relinkMax)
		l.mend()
	}
	l.end()
	return nil
}

// stream runs one stream until it breaks.
func (l *link) stream(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	stream := l.client.exchange(ctx, l.peer.Address)
	group.Go(func() error { return l.write(ctx, stream) })
	group.Go(func() error { return l.read(stream) })
	group.Go(func() error {
		<-ctx.Done()
		_ = stream.CloseRequest()
		return stream.CloseResponse()
	})
	return group.Wait()
}

func (l *link) write(ctx context.Context, stream *connect.BidiStreamForClient[frame.Request, frame.Reply]) error {
	if err := stream.Send(&frame.Request{
		ConfigDigest: l.client.state.State().Digest(),
	}); err != nil {
		return errors.Wrapf(err, "open stream to host %s", l.peer.ID)
	}
	idle := time.NewTimer(linkIdle)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-idle.C:
			return errors.Errorf("stream to host %s idle", l.peer.ID)
		case <-l.wake:
		}
		for {
			request := l.collect()
			if request == nil {
				break
			}
			if err := stream.Send(request); err != nil {
				return errors.Wrapf(err, "send to host %s", l.peer.ID)
			}
		}
		idle.Reset(linkIdle)
	}
}

// collect takes what waits as one frame and marks it as left; it returns nil when nothing waits.
func (l *link) collect() *frame.Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) == 0 && len(l.cancels) == 0 {
		return nil
	}
	n := min(len(l.pending), maxFrame)
	request := &frame.Request{
		Subs:         append([]*frame.Sub(nil), l.pending[:n]...),
		Cancelled:    l.cancels,
		ConfigDigest: l.client.state.State().Digest(),
	}
	l.pending = l.pending[n:]
	l.cancels = nil
	for _, s := range request.GetSubs() {
		if w, ok := l.waiting[s.GetSequence()]; ok {
			w.left = true
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
		if reply.GetConfigDigest() != l.client.state.State().Digest() {
			l.client.queuePull(l.peer)
		}
		for _, r := range reply.GetResults() {
			l.deliver(r)
		}
	}
}

func (l *link) deliver(r *frame.Result) {
	l.mu.Lock()
	w, ok := l.waiting[r.GetSequence()]
	delete(l.waiting, r.GetSequence())
	l.mu.Unlock()
	if !ok {
		return
	}
	w.inbox <- gather.Completion{
		Token:  w.token,
		Result: resultOf(r, w.shard),
	}
}

// fail answers everything that waits: what has not left has not run, the fate of the rest is open.
func (l *link) fail(err error) {
	l.mu.Lock()
	waiting := l.waiting
	l.waiting = make(map[uint64]*waiter)
	l.pending, l.cancels = nil, nil
	l.broken = true
	l.mu.Unlock()
	for _, w := range waiting {
		w.inbox <- gather.Completion{
			Token:  w.token,
			Result: w.lost(err),
		}
	}
}

func (l *link) mend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = false
}

func (l *link) endIfIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 && time.Since(l.used) > linkIdle {
		l.ended = true
	}
	return l.ended
}

func (l *link) end() {
	l.mu.Lock()
	l.ended = true
	l.mu.Unlock()
	l.fail(errors.New("host stopped"))
}
