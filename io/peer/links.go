package peer

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/gather"
	"magnoliaworks/core/member"
	"magnoliaworks/core/query"
)

// Executor runs sub-requests on backend servers that this host is home of.
type Executor interface {
	// Submit runs a sub-request; deliver receives its result once. The returned function ends interest in it.
	Submit(sub query.SubRequest, deliver func(query.Result)) (cancel func())
}

// Links holds one link for each host that sub-requests go to. It implements gather.Sender.
type Links struct {
	client *Client
	self   string
	local  Executor

	mu    sync.Mutex
	ctx   context.Context
	tasks *errgroup.Group
	links map[string]*link
}

// NewLinks returns links without streams; sub-requests for the host's own servers go to local.
func NewLinks(client *Client, self string, local Executor) *Links {
	return &Links{
		client: client,
		self:   self,
		local:  local,
		links:  make(map[string]*link),
	}
}

// Run keeps the links until ctx ends.
func (l *Links) Run(ctx context.Context) error {
	tasks, ctx := errgroup.WithContext(ctx)
	l.mu.Lock()
	l.ctx, l.tasks = ctx, tasks
	l.mu.Unlock()
	<-ctx.Done()
	return tasks.Wait()
}

// Send implements gather.Sender.
func (l *Links) Send(home member.Member, sub query.SubRequest, token int, inbox chan<- gather.Completion) (cancel func()) {
	if home.ID == l.self {
		return l.local.Submit(sub, func(result query.Result) {
			inbox <- gather.Completion{
				Token:  token,
				Result: result,
			}
		})
	}
	for range 2 {
		target := l.link(home)
		if target == nil {
			break
		}
		if cancel, ok := target.send(sub, token, inbox); ok {
			return cancel
		}
	}
	inbox <- gather.Completion{
		Token: token,
		Result: query.NotExecuted{
			Reason: "host stopped",
		},
	}
	return func() {}
}

func (l *Links) link(home member.Member) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tasks == nil || l.ctx.Err() != nil {
		return nil
	}
	present, ok := l.links[home.ID]
	if ok && present.peer.Address == home.Address && !present.over() {
		return present
	}
	fresh := newLink(l.client, home)
	l.links[home.ID] = fresh
	ctx := l.ctx
	l.tasks.Go(func() error { return fresh.run(ctx) })
	return fresh
}

func (l *link) over() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended
}
