package gather

import (
	"context"
	"time"

	"magnoliaworks/core/config"
	"magnoliaworks/core/index"
	"magnoliaworks/core/query"
	"magnoliaworks/core/route"
)

const (
	// maxAttempts bounds the sub-requests for one shard.
	maxAttempts = 4
	// answerMargin is the time before the deadline at which a search ends with what it has.
	answerMargin = 5 * time.Millisecond
)

// flight is one run of a search on one snapshot. One task owns it.
type flight struct {
	g    *Gatherer
	ctx  context.Context
	req  query.Request
	kind config.Kind
	// kindName names the kind among those of all collections.
	kindName string
	snapshot index.Snapshot
	until    time.Time
	table    *route.Table
	shards   []shardState
	attempts []attempt
	inbox    chan Completion
	record   *recorder
	// open counts the shards that have neither a result nor been given up.
	open int
	// ran is set when a sub-request has run or may have run.
	ran bool
	// gone is set when no replica of a shard holds the snapshot.
	gone bool
}

type shardState struct {
	shard   index.Shard
	tried   []string
	pending int
	closed  bool
	whole   bool
	hits    []query.Hit
}

type attempt struct {
	shard  int
	server string
	reason Reason
	sent   time.Time
	ended  bool
	cancel func()
}

func (g *Gatherer) newFlight(ctx context.Context, req query.Request, kind config.Kind, s index.Snapshot, record *recorder) *flight {
	shards := shardsOf(req, kind, s)
	until, _ := ctx.Deadline()
	f := &flight{
		g:        g,
		ctx:      ctx,
		req:      req,
		kind:     kind,
		kindName: req.Collection + "/" + req.Kind,
		snapshot: s,
		until:    until,
		table:    g.parts.Routes.Load(),
		shards:   make([]shardState, len(shards)),
		attempts: make([]attempt, 0, len(shards)+len(shards)/4+1),
		inbox:    make(chan Completion, len(shards)*maxAttempts),
		record:   record,
		open:     len(shards),
	}
	for i, shard := range shards {
		f.shards[i].shard = shard
	}
	return f
}

// fly sends the sub-requests and collects results until each shard has one or time is up.
func (f *flight) fly() (query.Answer, error) {
	defer f.cancelRest()
	f.g.parts.HedgeBudget.Earn(len(f.shards))
	f.g.parts.RetryBudget.Earn(len(f.shards))
	f.g.parts.Picker.Earn(len(f.shards))
	for i := range f.shards {
		f.send(i, First)
		f.mirror(i)
	}
	delay := f.g.hedgeDelay(f.req.Collection, f.req.Kind)
	hedge := time.NewTimer(delay.Value())
	defer hedge.Stop()
	end := time.NewTimer(time.Until(f.until) - answerMargin)
	defer end.Stop()
	for f.open > 0 && !f.gone {
		select {
		case reply := <-f.inbox:
			f.take(reply)
		case <-hedge.C:
			f.hedge()
		case <-end.C:
			return f.finish()
		case <-f.ctx.Done():
			return f.finish()
		}
	}
	return f.finish()
}

// send gives the sub-request of a shard to the best server that was not tried; it reports false when there is none.
func (f *flight) send(i int, reason Reason) bool {
	s := &f.shards[i]
	if len(s.tried) == maxAttempts {
		f.giveUp(i)
		return false
	}
	server, ok := f.g.parts.Picker.Pick(f.candidates(s))
	if !ok {
		f.giveUp(i)
		return false
	}
	f.sendTo(i, server, reason)
	return true
}

func (f *flight) sendTo(i int, server route.Server, reason Reason) {
	s := &f.shards[i]
	s.tried = append(s.tried, server.ID)
	s.pending++
	home, _ := server.Home()
	token := len(f.attempts)
	f.attempts = append(f.attempts, attempt{
		shard:  i,
		server: server.ID,
		reason: reason,
		sent:   time.Now(),
	})
	f.g.parts.Picker.Started(server.ID, f.kindName)
	f.g.parts.Meter.CountSubRequest(reason, server.DataCentre != f.g.parts.Self.DataCentre)
	if reason != First {
		f.record.step(string(reason), s.shard.ID, server.ID, "")
	}
	f.attempts[token].cancel = f.g.parts.Sender.Send(home, f.sub(s, server, token), token, f.inbox)
}

func (f *flight) sub(s *shardState, server route.Server, token int) query.SubRequest {
	key := ""
	if f.kind.Idempotence == config.Once {
		key = f.req.Caller + "/" + f.req.IdempotencyKey
	}
	return query.SubRequest{
		IdempotencyKey: key,
		RequestID:      f.req.ID,
		Attempt:        uint32(token),
		Server:         server.ID,
		Shard:          s.shard.ID,
		Snapshot:       f.snapshot.Version,
		Collection:     f.req.Collection,
		Kind:           f.req.Kind,
		Text:           f.req.Text,
		Limit:          f.req.Limit,
		Priority:       f.kind.Priority,
		Deadline:       f.until,
	}
}

func (f *flight) candidates(s *shardState) route.Candidates {
	return route.Candidates{
		Kind:    f.kindName,
		Servers: f.table.Replicas(f.req.Collection, s.shard.Service),
		Tried:   s.tried,
		Eligible: func(server string) bool {
			return f.g.parts.Snapshots.MayHold(server, f.snapshot.Version)
		},
	}
}

// mirror also sends the sub-request to a server that has been passed over, to learn whether it is fast again.
func (f *flight) mirror(i int) {
	s := &f.shards[i]
	if f.kind.Hedging != config.HedgingOn || len(s.tried) == 0 {
		return
	}
	server, ok := f.g.parts.Picker.PickMirror(f.candidates(s), s.tried[0])
	if ok && f.g.parts.HedgeBudget.Spend() {
		f.sendTo(i, server, Mirror)
	}
}

// hedge sends each open shard once more, within the budget.
func (f *flight) hedge() {
	if f.kind.Hedging != config.HedgingOn || f.g.parts.Policy == route.PolicyNaive {
		return
	}
	for i := range f.shards {
		s := &f.shards[i]
		if s.closed || s.pending != 1 || len(s.tried) == maxAttempts {
			continue
		}
		server, ok := f.g.parts.Picker.Pick(f.candidates(s))
		if !ok {
			continue
		}
		if !f.g.parts.HedgeBudget.Spend() {
			return
		}
		f.sendTo(i, server, Hedge)
	}
}

func (f *flight) giveUp(i int) {
	s := &f.shards[i]
	if s.closed || s.pending > 0 {
		return
	}
	s.closed = true
	f.open--
	f.record.step("gave up", s.shard.ID, "", "no server left to try")
}
