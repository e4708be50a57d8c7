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
	// spareConnections is the number of open connections beyond the slots, so that a lost one is replaced without a wait.
	spareConnections = 2
	// maxHomes is the number of homes that may share a server's connections while views of the fleet differ.
	maxHomes = 2
	// controlConnections is the number of connections that carry probes.
	controlConnections = 1
	// queuePerSlot bounds the queue in multiples of the slots.
	queuePerSlot = 32
	// assumedServiceTime is the service time of a server of which nothing is known.
	assumedServiceTime = 10 * time.Millisecond
)

// Server is one backend server as seen from its home. It holds the queue and the limit;
// a task for each connection takes jobs from it.
type Server struct {
	spec    Spec
	dialer  Dialer
	timer   *timer.Service
	journal *trace.Journal
	control *controlConn

	mu      sync.Mutex
	queue   jobQueue
	idle    []chan *Job
	running map[chan *Job]*Job
	warmup  limit.Warmup
	status  Status
	// replaceBefore is the time before which opened connections are to be replaced.
	replaceBefore time.Time
	// unverified is set after a connection was lost until a reply shows whether the server has restarted.
	unverified bool
	// down is set while no connection can be opened.
	down    bool
	closed  bool
	stopped chan struct{}
}

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

// run serves jobs until the server is closed and idle, or ctx ends.
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

// Submit queues a sub-request; deliver receives its result once, from another task or this one.
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

// admit queues the job, or returns the reason why not. A victim is a queued job that had to make room.
func (s *Server) admit(job *Job) (cause query.Cause, reason string, displaced *Job) {
	now := time.Now()
	switch {
	case s.closed:
		return query.Unavailable, "home moved", nil
	case s.status.Draining:
		return query.Unavailable, "server leaving", nil
	case s.down:
		return query.Unavailable, "server down", nil
	case job.expired(now):
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

// Cancel ends interest in a job. A job in progress is cancelled at the backend server if it may be repeated.
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
	if job.sent && job.sub.Idempotent() {
		s.control.cancel(job)
	}
}

// dispatch hands queued jobs to idle lanes while the limit permits.
func (s *Server) dispatch() {
	for len(s.queue) > 0 && len(s.idle) > 0 && len(s.running) < s.limit() {
		job := heap.Pop(&s.queue).(*Job)
		inbox := s.idle[len(s.idle)-1]
		s.idle = s.idle[:len(s.idle)-1]
		job.started = time.Now()
		job.sent = true
		s.running[inbox] = job
		inbox <- job
	}
}

func (s *Server) limit() int {
	if s.unverified {
		return 1
	}
	return s.warmup.Limit()
}

// expectedWait returns the expected wait of a new job of that priority.
func (s *Server) expectedWait(priority int) time.Duration {
	ahead := max(len(s.running)+1-s.limit(), 0)
	for _, j := range s.queue {
		if j.sub.Priority >= priority {
			ahead++
		}
	}
	return time.Duration(ahead) * s.serviceTime() / time.Duration(s.limit())
}

func (s *Server) serviceTime() time.Duration {
	if baseline := s.warmup.BaselineServiceTime(); baseline > 0 {
		return baseline
	}
	return assumedServiceTime
}

func (s *Server) feedback(serviceTime time.Duration) query.Feedback {
	return query.Feedback{
		OldestSnapshot: s.status.OldestSnapshot,
		NewestSnapshot: s.status.NewestSnapshot,
		QueueWait:      s.expectedWait(0),
		ServiceTime:    serviceTime,
	}
}

// finishJob frees the place of a lane's job.
func (s *Server) finishJob(inbox chan *Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, inbox)
	s.dispatch()
	s.stopIfIdle()
}

// requeue returns a job to the queue: any number of times while it has not been sent, once after that.
// It reports false when the job has had its second try or the server takes none.
func (s *Server) requeue(job *Job, wasSent bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if (wasSent && job.resent) || s.closed || s.down {
		return false
	}
	job.resent = job.resent || wasSent
	job.sent = false
	if !job.cancelled {
		heap.Push(&s.queue, job)
	}
	return true
}

// close refuses new jobs, returns the queued ones as not run, and lets those in progress finish.
func (s *Server) close() {
	s.mu.Lock()
	s.closed = true
	flushed := s.flush()
	s.stopIfIdle()
	s.mu.Unlock()
	deliverNotExecuted(flushed, "home moved")
}

func (s *Server) flush() []*Job {
	flushed := s.queue
	s.queue = nil
	for _, j := range flushed {
		j.queueIndex = -1
	}
	return flushed
}

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

func deliverNotExecuted(jobs []*Job, reason string) {
	for _, j := range jobs {
		j.deliver(query.NotExecuted{
			Reason: reason,
		})
	}
}
