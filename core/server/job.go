package server

import (
	"time"

	"magnoliaworks/core/query"
)

// Job is a sub-request that is queued for a backend server or in progress there.
type Job struct {
	sub     query.SubRequest
	deliver func(query.Result)
	// queueIndex is the position in the queue, or -1 outside it.
	queueIndex int
	// resent is set when the job was returned to the queue after it may have been sent, which happens at most once.
	resent bool
	// assigned is set when the job is assigned to a connection, and cleared when it is queued again.
	assigned bool
	// cancelled is set when the result is no longer wanted.
	cancelled bool
	// started is the time at which the job was assigned to a connection.
	started time.Time
}

// cancelledOrExpired reports whether the job is cancelled or its deadline has passed.
func (j *Job) cancelledOrExpired(now time.Time) bool { return j.cancelled || now.After(j.sub.Deadline) }

// jobQueue is a heap of jobs by falling priority, then by deadline.
type jobQueue []*Job

func (q jobQueue) Len() int { return len(q) }

func (q jobQueue) Less(a, b int) bool {
	if q[a].sub.Priority != q[b].sub.Priority {
		return q[a].sub.Priority > q[b].sub.Priority
	}
	return q[a].sub.Deadline.Before(q[b].sub.Deadline)
}

func (q jobQueue) Swap(a, b int) {
	q[a], q[b] = q[b], q[a]
	q[a].queueIndex, q[b].queueIndex = a, b
}

// Push implements heap.Interface.
func (q *jobQueue) Push(x any) {
	j := x.(*Job)
	j.queueIndex = len(*q)
	*q = append(*q, j)
}

// Pop implements heap.Interface.
func (q *jobQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	last.queueIndex = -1
	*q = old[:len(old)-1]
	return last
}

// leastUrgent returns the job that would run last: the one of lowest priority with the latest deadline.
func (q jobQueue) leastUrgent() *Job {
	var least *Job
	for _, j := range q {
		if least == nil || j.sub.Priority < least.sub.Priority ||
			(j.sub.Priority == least.sub.Priority && j.sub.Deadline.After(least.sub.Deadline)) {
			least = j
		}
	}
	return least
}
