package relay

import (
	"time"

	"magnoliaworks/core/pool"
	"magnoliaworks/core/query"
	"magnoliaworks/core/trace"
)

// shard is the state of one service that has to reply; a message to a single service has one shard.
type shard struct {
	service string
	// tried holds the IDs of the servers that were called. pending counts the calls in progress, a delegation included,
	// and calls counts all calls sent by this host.
	tried   []string
	pending int
	// refusing holds the IDs of those that refused their last call although they had slots free.
	refusing []string
	calls    int
	// ran counts the servers on which the message has or may have been executed, for each of which an attempt of the route
	// is used up; a delegation counts as one.
	ran int
	// delegated is set when the shard is part of the delegation.
	delegated bool
	// resolved is set once the shard is answered or given up. hedgeAt is the time at which the call in progress may be hedged.
	resolved bool
	hedgeAt  time.Time
	// rejected is set once a server has rejected a call for lack of capacity without asking for quiet.
	rejected bool
	// answered is set once the reply is in; reply holds it unless another host gathered it.
	answered bool
	reply    *query.Reply
	// failureReply is the last failure that a server replied with, and failureReason says why there is no reply.
	failureReply  *query.Reply
	failureReason string
}

// attempt is one call to a backend server. If the message was not executed, it uses up no attempt of the route.
type attempt struct {
	shard  int
	server string
	reason string
	sentAt time.Time
	ended  bool
	call   *pool.Call
	// cancel withdraws the call if it is still queued; otherwise its reply is awaited for at most the grace.
	// It reports whether the call was withdrawn and therefore not executed.
	cancel func(grace time.Duration) (withdrawn bool)
}

// completion is the result of the attempt with the given index.
type completion struct {
	attempt int
	result  query.Result
}

// giveUp resolves a shard without a reply, unless a call for it is still in progress.
func (e *execution) giveUp(i int, reason string) {
	s := &e.shards[i]
	if s.resolved || s.pending > 0 {
		return
	}
	s.resolved = true
	if s.failureReason == "" {
		s.failureReason = reason
	}
	e.unresolved--
	e.step(trace.Step{
		What:   "gave up",
		Shard:  s.service,
		Detail: reason,
	})
}
