package server

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/limit"
	"magnoliaworks/core/query"
	"magnoliaworks/core/timer"
	"magnoliaworks/core/trace"
)

const (
	// spareConnections is the number of connections opened beyond the slots, so that a lost one is replaced without a wait.
	spareConnections = 2
	// maxHomes is the number of hosts that may share a server's connections while their views of the fleet differ.
	maxHomes = 2
	// controlConnections is the number of a host's connections to a server that carry probes.
	controlConnections = 1
	// queuePerSlot is the largest length of the queue per slot of the server.
	queuePerSlot = 32
	// assumedServiceTime is the service time of a server whose baseline is not known.
	assumedServiceTime = 10 * time.Millisecond
)

// Server is one backend server as its home host sees it. It holds the queue and the concurrency limit;
// one goroutine per connection runs its jobs.
type Server struct {
	spec    Spec
	dialer  Dialer
	timer   *timer.Service
	journal *trace.Journal
	control *controlConn

	// mu guards the fields below.
	mu    sync.Mutex
	queue jobQueue
	// idle holds the inboxes of the connections that wait for a job.
	idle []chan *Job
	// running maps the inbox of each busy connection to its job.
	running map[chan *Job]*Job
	warmup  limit.Warmup
	status  Status
	// replaceBefore is the time of the last replacement of connections; those opened earlier are to be replaced.
	replaceBefore time.Time
	// unverified is set from the loss of a connection or a failed dial until a reply shows whether the server has restarted.
	unverified bool
	// down is set from a failed dial until one succeeds.
	down   bool
	closed bool
	// stopped is closed once the server is closed and has no job in progress.
	stopped chan struct{}
}

// newServer returns a server without connections; run opens them.
func newServer(spec Spec, dialer Dialer, t *timer.Service, journal *trace.Journal) *Server {
	s := &Server{
		spec:    spec,
		dialer:  dialer,
		timer:   t,
		journal: journal,
		running: make(map[chan *Job]*Job),
		warmup:  limit.NewWarmup(spec.Slots),
		stopped: make(chan struct{}),
	}
	s.control = newControlConn(s)
	return s
}

// run serves jobs until the server is closed and has none in progress, or ctx ends.
func (s *Server) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	connections := min(s.spec.Slots+spareConnections, s.spec.MaxConnections/maxHomes-controlConnections)
	for range max(connections, 1) {
		group.Go(func() error { return s.runConnection(ctx) })
	}
	group.Go(func() error { return s.control.run(ctx) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-s.stopped:
		}
		cancel()
		return nil
	})
	err := group.Wait()
	s.close()
	return err
}

// Submit queues a sub-request. deliver receives its result once, from this or another goroutine;
// after Cancel it might never be called.
func (s *Server) Submit(sub query.SubRequest, deliver func(query.Result)) *Job {
	job := &Job{
		sub:        sub,
		deliver:    deliver,
		queueIndex: -1,
	}
	s.mu.Lock()
	cause, reason, displaced := s.admit(job)
	feedback := s.feedback(0)
	s.mu.Unlock()
	if reason != "" {
		deliver(query.NotExecuted{
			Cause:    cause,
			Reason:   reason,
			Feedback: feedback,
		})
	}
	if displaced != nil {
		displaced.deliver(query.NotExecuted{
			Cause:    query.Busy,
			Reason:   "queue full, displaced by a more urgent request",
			Feedback: feedback,
		})
	}
	return job
}

// admit queues the job, or returns why it can't. displaced is a job of lower priority that was removed
// from the full queue. The caller holds s.mu.
func (s *Server) admit(job *Job) (cause query.Cause, reason string, displaced *Job) {
	now := time.Now()
	switch {
	case s.closed:
		return query.Unavailable, "home moved", nil
	case s.status.Draining:
		return query.Unavailable, "server draining", nil
	case s.down:
		return query.Unavailable, "server down", nil
	case job.cancelledOrExpired(now):
		return query.Busy, "deadline passed", nil
	case now.Add(s.expectedWait(job.sub.Priority)).After(job.sub.Deadline):
		return query.Busy, "queue too long for the deadline", nil
	}
	if len(s.queue) >= queuePerSlot*s.spec.Slots {
		displaced = s.queue.leastUrgent()
		if displaced.sub.Priority >= job.sub.Priority {
			return query.Busy, "queue full", nil
		}
		heap.Remove(&s.queue, displaced.queueIndex)
	}
	heap.Push(&s.queue, job)
	s.dispatch()
	return 0, "", displaced
}

// Cancel drops a job whose result is no longer wanted. A job in progress is cancelled at the backend server
// if it is idempotent.
func (s *Server) Cancel(job *Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if job.cancelled {
		return
	}
	job.cancelled = true
	if job.queueIndex >= 0 {
		heap.Remove(&s.queue, job.queueIndex)
		return
	}
	if job.assigned && job.sub.Idempotent() {
		s.control.cancel(job)
	}
}

// dispatch assigns queued jobs to idle connections while the concurrency limit permits. The caller holds s.mu.
func (s *Server) dispatch() {
	for len(s.queue) > 0 && len(s.idle) > 0 && len(s.running) < s.limit() {
		job := heap.Pop(&s.queue).(*Job)
		inbox := s.idle[len(s.idle)-1]
		s.idle = s.idle[:len(s.idle)-1]
		job.started = time.Now()
		job.assigned = true
		s.running[inbox] = job
		inbox <- job
	}
}

// limit returns the concurrency limit, which is 1 while the server may have restarted. The caller holds s.mu.
func (s *Server) limit() int {
	if s.unverified {
		return 1
	}
	return s.warmup.Limit()
}

// expectedWait returns the time that a new job of the given priority is expected to spend in the queue.
// The caller holds s.mu.
func (s *Server) expectedWait(priority int) time.Duration {
	ahead := max(len(s.running)+1-s.limit(), 0)
	for _, j := range s.queue {
		if j.sub.Priority >= priority {
			ahead++
		}
	}
	return time.Duration(ahead) * s.serviceTime() / time.Duration(s.limit())
}

// serviceTime returns the expected service time of a job. The caller holds s.mu.
func (s *Server) serviceTime() time.Duration {
	if baseline := s.warmup.BaselineServiceTime(); baseline > 0 {
		return baseline
	}
	return assumedServiceTime
}

// feedback returns what this host reports of the server beside a result. serviceTime is the time from the start of the job
// to the reply, also if the server rejected the job; it is 0 without a reply. The caller holds s.mu.
func (s *Server) feedback(serviceTime time.Duration) query.Feedback {
	return query.Feedback{
		OldestSnapshot: s.status.OldestSnapshot,
		NewestSnapshot: s.status.NewestSnapshot,
		QueueWait:      s.expectedWait(0),
		ServiceTime:    serviceTime,
	}
}

// finishJob removes the job of a connection from those in progress.
func (s *Server) finishJob(inbox chan *Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, inbox)
	s.dispatch()
	s.stopIfIdle()
}

// requeue returns a job to the queue: any number of times while it has not been sent, and once after that.
// wasSent means that the job may have reached the server. It reports false when the job has been sent twice
// or the server is closed or down. A cancelled job is dropped.
func (s *Server) requeue(job *Job, wasSent bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if (wasSent && job.resent) || s.closed || s.down {
		return false
	}
	job.resent = job.resent || wasSent
	job.assigned = false
	if !job.cancelled {
		heap.Push(&s.queue, job)
	}
	return true
}

// close rejects new jobs, returns the queued ones as not executed, and lets those in progress finish.
func (s *Server) close() {
	s.mu.Lock()
	s.closed = true
	flushed := s.flush()
	s.stopIfIdle()
	s.mu.Unlock()
	deliverNotExecuted(flushed, "home moved")
}

// flush empties the queue and returns its jobs. The caller holds s.mu.
func (s *Server) flush() []*Job {
	flushed := s.queue
	s.queue = nil
	for _, j := range flushed {
		j.queueIndex = -1
	}
	return flushed
}

// stopIfIdle makes run return once the server is closed and has no job in progress. The caller holds s.mu.
func (s *Server) stopIfIdle() {
	if !s.closed || len(s.running) > 0 {
		return
	}
	select {
	case <-s.stopped:
	default:
		close(s.stopped)
	}
}

// deliverNotExecuted ends each job as not executed, for the same reason.
func deliverNotExecuted(jobs []*Job, reason string) {
	for _, j := range jobs {
		j.deliver(query.NotExecuted{
			Reason: reason,
		})
	}
}
