package peer

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/gather"
	"magnoliaworks/core/member"
	"magnoliaworks/core/query"
)

// Executor runs sub-requests on the backend servers whose home is this host.
type Executor interface {
	// Submit starts a sub-request and calls deliver once with its result. cancel drops a sub-request whose result is no longer
	// wanted, after which deliver may not be called. It does not stop a non-idempotent request that its server already has.
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

// NewLinks returns links of the host with ID self. A link is opened for the first sub-request to its host; sub-requests for
// servers whose home is this host go to local.
func NewLinks(client *Client, self string, local Executor) *Links {
	return &Links{
		client: client,
		self:   self,
		local:  local,
		links:  make(map[string]*link),
	}
}

// Run runs the links until ctx ends. Before Run and after its end, Send refuses sub-requests to other hosts.
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
	// A link may end as idle between linkTo and send; the second try uses a new one.
	for range 2 {
		target := l.linkTo(home)
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

// linkTo returns the link to a host and starts one if there is none, it has ended or the host's address has changed.
// It returns nil unless the links are running.
func (l *Links) linkTo(home member.Member) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tasks == nil || l.ctx.Err() != nil {
		return nil
	}
	existing, ok := l.links[home.ID]
	if ok && existing.peer.Address == home.Address && !existing.hasEnded() {
		return existing
	}
	created := newLink(l.client, home)
	l.links[home.ID] = created
	ctx := l.ctx
	l.tasks.Go(func() error { return created.run(ctx) })
	return created
}

func (l *link) hasEnded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended
}
