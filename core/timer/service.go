// Package timer wakes the parts of a host at regular intervals from one task.
package timer

import (
	"container/heap"
	"context"
	"time"
)

// Service wakes subscribers. It is ready for use after New and wakes nobody until Run is called.
type Service struct {
	joins chan *subscription
}

// New returns a service without subscribers.
func New() *Service {
	return &Service{
		joins: make(chan *subscription),
	}
}

// Run wakes subscribers until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	var queue schedule
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		alarm.Reset(queue.untilNext(time.Now()))
		select {
		case <-ctx.Done():
			return nil
		case sub := <-s.joins:
			heap.Push(&queue, sub)
		case <-alarm.C:
			queue.fire(time.Now())
		}
	}
}

// Subscribe returns a channel that receives a tick each period until ctx ends.
// A subscriber that is late misses ticks; it never receives a backlog of them.
func (s *Service) Subscribe(ctx context.Context, period time.Duration) <-chan Tick {
	sub := &subscription{
		ctx:    ctx,
		period: period,
		due:    time.Now().Add(period),
		ticks:  make(chan Tick, 1),
	}
	select {
	case s.joins <- sub:
	case <-ctx.Done():
	}
	return sub.ticks
}
