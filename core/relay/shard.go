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
	// in is set once the part is in; part holds it unless another host gathered it.
	in   bool
	part *query.Reply
	// failure is the last failure that a server replied with.
	failure *query.Reply
	reason  string
}

type attempt struct {
	shard   int
	server  string
	reason  string
	sent    time.Time
	ended   bool
	abandon func(grace time.Duration) (withdrawn bool)
}

type arrival struct {
	token  int
	result query.Result
}

// giveUp closes a shard that has no call in progress.
func (f *flight) giveUp(i int, reason string) {
	s := &f.shards[i]
	if s.closed || s.pending > 0 {
		return
	}
	s.closed = true
	if s.reason == "" {
		s.reason = reason
	}
	f.open--
	f.step(trace.Step{
		What:   "gave up",
		Shard:  s.service,
		Detail: reason,
	})
}
