// Package timer sends periodic ticks to the parts of a host from a single goroutine.
package timer

import (
	"container/heap"
	"context"
	"time"
)

// Service sends ticks to its subscribers. Run has to be called: until then Subscribe blocks and nobody receives a tick.
type Service struct {
	subscriptions chan *subscription
}

// New returns a service without subscribers.
func New() *Service {
	return &Service{
		subscriptions: make(chan *subscription),
	}
}

// Run sends ticks to the subscribers until ctx ends, and then returns nil.
func (s *Service) Run(ctx context.Context) error {
	var pending schedule
	wakeUp := time.NewTimer(time.Hour)
	defer wakeUp.Stop()
	for {
		wakeUp.Reset(pending.untilNext(time.Now()))
		select {
		case <-ctx.Done():
			return nil
		case sub := <-s.subscriptions:
			heap.Push(&pending, sub)
		case <-wakeUp.C:
			pending.fire(time.Now())
		}
	}
}

// Subscribe returns a channel that receives a tick each period until ctx ends.
// The channel is never closed. A subscriber that is late misses ticks; at most one waits in the channel.
func (s *Service) Subscribe(ctx context.Context, period time.Duration) <-chan Tick {
	sub := &subscription{
		ctx:    ctx,
		period: period,
		due:    time.Now().Add(period),
		ticks:  make(chan Tick, 1),
	}
	select {
	case s.subscriptions <- sub:
	case <-ctx.Done():
	}
	return sub.ticks
}
