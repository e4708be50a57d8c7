package server

import (
	"time"

	"magnoliaworks/core/query"
)

// Job is a sub-request on its way to a backend server.
type Job struct {
	sub     query.SubRequest
	deliver func(query.Result)
	// queueIndex is the place in the queue, or -1 outside it.
	queueIndex int
	// resent is set when the job was sent on a connection that failed.
	resent bool
	// sent is set while a lane has the job.
	sent bool
	// cancelled is set when no result is wanted any more.
	cancelled bool
	started   time.Time
}

func (j *Job) expired(now time.Time) bool { return j.cancelled || now.After(j.sub.Deadline) }

// jobQueue is a heap ordered by priority, then deadline.
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

// leastUrgent returns the job that would be served last among those of the lowest priority.
func (q jobQueue) leastUrgent() *Job {
	var worst *Job
	for _, j := range q {
		if worst == nil || j.sub.Priority < worst.sub.Priority ||
			(j.sub.Priority == worst.sub.Priority && j.sub.Deadline.After(worst.sub.Deadline)) {
			worst = j
		}
	}
	return worst
}
