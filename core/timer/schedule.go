package timer

import (
	"container/heap"
	"context"
	"time"
)

// maxSleep is the wait while the schedule is empty.
const maxSleep = time.Hour

// subscription is one subscriber; due is the time of its next tick.
type subscription struct {
	ctx    context.Context
	period time.Duration
	due    time.Time
	ticks  chan Tick
}

// schedule is a heap of subscriptions ordered by due time.
type schedule []*subscription

func (q schedule) Len() int           { return len(q) }
func (q schedule) Less(i, j int) bool { return q[i].due.Before(q[j].due) }
func (q schedule) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *schedule) Push(x any) { *q = append(*q, x.(*subscription)) }

// Pop implements heap.Interface.
func (q *schedule) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// untilNext returns the time until the next tick is due, or maxSleep if the schedule is empty.
func (q schedule) untilNext(now time.Time) time.Duration {
	if len(q) == 0 {
		return maxSleep
	}
	return max(q[0].due.Sub(now), 0)
}

// fire sends a tick to each due subscriber, or none if the last one was not yet received, and removes subscribers whose
// context has ended. The next tick is due one period after now, so missed ticks are not made up for after a pause.
func (q *schedule) fire(now time.Time) {
	for len(*q) > 0 && !(*q)[0].due.After(now) {
		sub := (*q)[0]
		if sub.ctx.Err() != nil {
			heap.Pop(q)
			continue
		}
		tick := Tick{
			At:   now,
			Late: now.Sub(sub.due),
		}
		select {
		case sub.ticks <- tick:
		default:
		}
		sub.due = now.Add(sub.period)
		heap.Fix(q, 0)
	}
}
