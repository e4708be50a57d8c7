package server

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/core/query"
	"magnoliaworks/core/timer"
)

const (
	// redialMin and redialMax bound the wait between attempts to connect.
	redialMin = 50 * time.Millisecond
	redialMax = time.Second
	// lastLook is the wait for a reply that may have crossed a probe.
	lastLook = 20 * time.Millisecond
	// cancelGrace is the wait for the reply to a cancelled request before its connection is closed.
	cancelGrace = 50 * time.Millisecond
)

// lane opens one connection after the other and serves jobs on each.
func (s *Server) lane(ctx context.Context) error {
	wait := redialMin
	for ctx.Err() == nil {
		conn, err := s.dialer.Dial(ctx, s.spec.Address)
		if ctx.Err() != nil {
			closeConn(conn)
			return nil
		}
		if err != nil {
			s.unreached(err)
			_ = timer.Sleep(ctx, wait)
			wait = min(2*wait, redialMax)
			continue
		}
		wait = redialMin
		s.connected()
		s.serve(ctx, conn)
		_ = conn.Close()
	}
	return nil
}

// serve runs jobs on a connection until it is of no more use.
func (s *Server) serve(ctx context.Context, conn Conn) {
	inbox := make(chan *Job, 1)
	opened := time.Now()
	for !s.suspects(opened) && s.wait(inbox) {
		job, ok := s.next(ctx, inbox)
		if !ok || job == nil {
			return
		}
		usable := s.exchange(conn, job)
		s.finish(inbox)
		if !usable {
			return
		}
	}
}

// wait offers the lane for the next job; it reports false when the server is closed.
func (s *Server) wait(inbox chan *Job) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.idle = append(s.idle, inbox)
	s.dispatch()
	return true
}

// next returns the next job, or nil when the connection is to be replaced; ok is false when ctx has ended.
func (s *Server) next(ctx context.Context, inbox chan *Job) (*Job, bool) {
	select {
	case job := <-inbox:
		return job, true
	case <-ctx.Done():
	}
	if s.withdraw(inbox) {
		return nil, false
	}
	return <-inbox, true
}

// withdraw takes back an offer; it reports false when a job has already been handed over.
func (s *Server) withdraw(inbox chan *Job) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, c := range s.idle {
		if c == inbox {
			s.idle = append(s.idle[:i], s.idle[i+1:]...)
			return true
		}
	}
	return false
}

// exchange runs one job and reports whether the connection can serve another.
func (s *Server) exchange(conn Conn, job *Job) (usable bool) {
	if job.expired(time.Now()) {
		s.deliver(job, query.NotExecuted{
			Cause:  query.Busy,
			Reason: "deadline passed in the queue",
		})
		return true
	}
	if !job.sub.Idempotent() && !s.proves(conn, job) {
		s.retire(job.started)
		s.resend(job, query.NotExecuted{
			Reason: "connection lost before the request was sent",
		})
		return false
	}
	if err := conn.Send(job.sub); err != nil {
		return s.broken(job, errors.Wrapf(err, "send to backend server %s", s.spec.Address))
	}
	reply, err := s.await(conn, job)
	switch {
	case err == nil:
		s.replied(job, reply)
		return true
	case errors.Is(err, ErrReplyTimeout):
		return s.outOfTime(conn, job)
	case errors.Is(err, errLostTrack):
		s.resend(job, query.Failed{
			Reason: err.Error(),
		})
		return false
	default:
		return s.broken(job, errors.Wrapf(err, "reply of backend server %s", s.spec.Address))
	}
}

// errLostTrack reports a connection whose server does not know the request that was sent on it.
var errLostTrack = errors.New("connection silent: the server does not know the request")

// await waits for the reply. When it is late, a probe on another connection tells a slow server from a silent connection.
func (s *Server) await(conn Conn, job *Job) (Reply, error) {
	first := time.Now().Add(s.patience())
	if first.After(job.sub.Deadline) {
		first = job.sub.Deadline
	}
	reply, err := conn.Await(job.sub, first)
	if !errors.Is(err, ErrReplyTimeout) || !time.Now().Before(job.sub.Deadline) {
		return reply, err
	}
	known, err := s.control.knows(job)
	if err == nil && !known {
		reply, err = conn.Await(job.sub, time.Now().Add(lastLook))
		if errors.Is(err, ErrReplyTimeout) {
			s.retire(job.started)
			return Reply{}, errLostTrack
		}
		return reply, err
	}
	return conn.Await(job.sub, job.sub.Deadline)
}

// proves reports whether the connection still reaches the server.
func (s *Server) proves(conn Conn, job *Job) bool {
	until := time.Now().Add(s.patience())
	reply, err := conn.Probe(job.sub.RequestID, job.sub.Attempt, false, until)
	if err != nil {
		return false
	}
	s.observe(reply.Status)
	return true
}

// broken handles a connection that failed in the middle of an exchange.
func (s *Server) broken(job *Job, err error) (usable bool) {
	s.lost()
	s.resend(job, query.Failed{
		Reason: err.Error(),
	})
	return false
}

// resend queues a job for another connection if it may run twice or has not left, and delivers otherwise.
func (s *Server) resend(job *Job, otherwise query.Result) {
	_, unsent := otherwise.(query.NotExecuted)
	if (unsent || job.sub.Idempotent()) && s.requeue(job, !unsent) {
		return
	}
	s.deliver(job, otherwise)
}

// outOfTime cancels a request whose deadline has passed and reports whether its connection ended cleanly.
func (s *Server) outOfTime(conn Conn, job *Job) (usable bool) {
	s.deliver(job, query.Failed{
		Reason: fmt.Sprintf("no reply of backend server %s within the deadline", s.spec.Address),
	})
	s.control.cancel(job)
	_, err := conn.Await(job.sub, time.Now().Add(cancelGrace))
	return err == nil
}

// replied delivers the result that a reply stands for.
func (s *Server) replied(job *Job, reply Reply) {
	service := time.Since(job.started)
	s.observe(reply.Status)
	s.mu.Lock()
	hint := s.hint(service)
	s.mu.Unlock()
	switch reply.Outcome {
	case Done, CutShort:
		s.succeeded(service)
		s.deliver(job, query.Done{
			Snapshot: reply.Snapshot,
			Complete: reply.Outcome == Done,
			Hits:     reply.Hits,
			Feedback: hint,
		})
	case SnapshotAbsent:
		s.deliver(job, query.SnapshotAbsent{
			Feedback: hint,
		})
	case Shed:
		s.shed()
		s.deliver(job, query.NotExecuted{
			Cause:    query.Busy,
			Reason:   "server full",
			Feedback: hint,
		})
	case Draining:
		s.deliver(job, query.NotExecuted{
			Reason:   "server leaving",
			Feedback: hint,
		})
	case Cancelled, Failed:
		s.deliver(job, query.Failed{
			Reason: "backend server " + s.spec.Address + ": " + reply.Detail,
		})
	default:
		s.deliver(job, query.Failed{
			Reason: fmt.Sprintf("backend server %s replied with outcome %d", s.spec.Address, reply.Outcome),
		})
	}
}

func (s *Server) deliver(job *Job, result query.Result) { job.deliver(result) }
