package relay

import (
	"time"

	"magnoliaworks/core/query"
	"magnoliaworks/core/trace"
)

// shard is one service that a part is wanted of; a message to one service has one shard.
type shard struct {
	service string
	tried   []string
	pending int
	sends   int
	// ran counts the servers on which the message has or may have run.
	ran int
	// delegated is set when another host was asked for the part.
	delegated bool
	closed    bool
	hedgeAt   time.Time
	// answered is set once the part is answered; part holds it unless another host gathered it.
	answered bool
	reply    *query.Reply
	// failureReply is the last failureReply that a server replied with.
	failureReply *query.Reply
	reason       string
}

type attempt struct {
	shard   int
	server  string
	reason  string
	sent    time.Time
	ended   bool
	abandon func(grace time.Duration) (withdrawn bool)
}

type completion struct {
	attempt int
	result  query.Result
}

// giveUp closes a shard that has no call in progress.
func (e *execution) giveUp(i int, reason string) {
	s := &e.shards[i]
	if s.closed || s.pending > 0 {
		return
	}
	s.closed = true
	if s.reason == "" {
		s.reason = reason
	}
	e.unresolved--
	e.step(trace.Step{
		What:   "gave up",
		Shard:  s.service,
		Detail: reason,
	})
}
