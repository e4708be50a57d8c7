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
	standstill    standstill
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
	defer s.standstill.stop()
	for {
		now := time.Now()
		wait := pending.untilNext(now)
		s.standstill.expect(now, now.Add(wait))
		wakeUp.Reset(wait)
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

// Standstill returns the time for which the process stood still until shortly before a moment: what it reads then may have waited so long.
// It is 0 if ticks came in time.
func (s *Service) Standstill(at time.Time) time.Duration { return s.standstill.before(at) }

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
