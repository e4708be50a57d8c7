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
	// minRedialDelay and maxRedialDelay bound the delay between attempts to connect, which doubles after each failure.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = time.Second
	// finalReplyWait is the wait for a reply that may have been under way while the probe was answered.
	finalReplyWait = 20 * time.Millisecond
	// cancelGrace is the wait for the reply to a cancelled request before its connection is closed.
	cancelGrace = 50 * time.Millisecond
)

// runConnection keeps a connection to the server open and serves jobs on it until the server is closed or ctx ends.
func (s *Server) runConnection(ctx context.Context) error {
	delay := minRedialDelay
	for ctx.Err() == nil && !s.isClosed() {
		conn, err := s.dialer.Dial(ctx, s.spec.Address)
		if ctx.Err() != nil {
			closeConn(conn)
			return nil
		}
		if err != nil {
			s.dialFailed(err)
			_ = timer.Sleep(ctx, delay)
			delay = min(2*delay, maxRedialDelay)
			continue
		}
		delay = minRedialDelay
		s.dialSucceeded()
		s.serve(ctx, conn)
		_ = conn.Close()
	}
	return nil
}

// serve runs jobs on a connection until it is unusable or to be replaced, the server is closed, or ctx ends.
func (s *Server) serve(ctx context.Context, conn Conn) {
	inbox := make(chan *Job, 1)
	opened := time.Now()
	for !s.mustReplace(opened) && s.addIdle(inbox) {
		job, ok := s.nextJob(ctx, inbox)
		if !ok || job == nil {
			return
		}
		usable := s.exchange(conn, job)
		s.finishJob(inbox)
		if !usable {
			return
		}
	}
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// addIdle registers a connection as idle, so that it receives the next job; it reports false when the server is closed.
func (s *Server) addIdle(inbox chan *Job) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.idle = append(s.idle, inbox)
	s.dispatch()
	return true
}

// nextJob returns the next job, or nil when the connection is to be replaced; it reports false when ctx has ended
// before either.
func (s *Server) nextJob(ctx context.Context, inbox chan *Job) (*Job, bool) {
	select {
	case job := <-inbox:
		return job, true
	case <-ctx.Done():
	}
	if s.removeIdle(inbox) {
		return nil, false
	}
	return <-inbox, true
}

// removeIdle withdraws a connection from the idle ones; it reports false when its inbox has already received a job or nil.
func (s *Server) removeIdle(inbox chan *Job) bool {
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
	if job.cancelledOrExpired(time.Now()) {
		s.deliver(job, query.NotExecuted{
			Cause:  query.Busy,
			Reason: "deadline passed in the queue",
		})
		return true
	}
	if !job.sub.Idempotent() && !s.verifyConnection(conn, job) {
		s.replaceConnections(job.started)
		s.requeueOrDeliver(job, query.NotExecuted{
			Reason: "connection lost before the request was sent",
		})
		return false
	}
	if err := conn.Send(job.sub); err != nil {
		return s.connectionFailed(job, errors.Wrapf(err, "send to backend server %s", s.spec.Address))
	}
	reply, err := s.awaitReply(conn, job)
	switch {
	case err == nil:
		s.handleReply(job, reply)
		return true
	case errors.Is(err, ErrReplyTimeout):
		return s.deadlineExceeded(conn, job)
	case errors.Is(err, errRequestUnknown):
		s.requeueOrDeliver(job, query.Failed{
			Reason: err.Error(),
		})
		return false
	default:
		return s.connectionFailed(job, errors.Wrapf(err, "reply of backend server %s", s.spec.Address))
	}
}

// errRequestUnknown reports a connection whose server does not know the request that was sent on it.
var errRequestUnknown = errors.New("connection silent: the server does not know the request")

// awaitReply waits for the reply to a job. When it is late, a probe on the control connection
// distinguishes a slow server from a silent connection.
func (s *Server) awaitReply(conn Conn, job *Job) (Reply, error) {
	probeAt := time.Now().Add(s.probeDelay())
	if probeAt.After(job.sub.Deadline) {
		probeAt = job.sub.Deadline
	}
	reply, err := conn.Await(job.sub, probeAt)
	if !errors.Is(err, ErrReplyTimeout) || !time.Now().Before(job.sub.Deadline) {
		return reply, err
	}
	inProgress, err := s.control.hasInProgress(job)
	if err == nil && !inProgress {
		reply, err = conn.Await(job.sub, time.Now().Add(finalReplyWait))
		if errors.Is(err, ErrReplyTimeout) {
			s.replaceConnections(job.started)
			return Reply{}, errRequestUnknown
		}
		return reply, err
	}
	return conn.Await(job.sub, job.sub.Deadline)
}

// verifyConnection reports whether the server still answers on the connection. A sub-request that must not run twice
// is sent only after that check, since it could not be sent again if the connection turned out to be dead.
func (s *Server) verifyConnection(conn Conn, job *Job) bool {
	deadline := time.Now().Add(s.probeDelay())
	reply, err := conn.Probe(job.sub.RequestID, job.sub.Attempt, false, deadline)
	if err != nil {
		return false
	}
	s.updateStatus(reply.Status)
	return true
}

// connectionFailed handles a connection that failed during an exchange.
func (s *Server) connectionFailed(job *Job, err error) (usable bool) {
	s.connectionLost()
	s.requeueOrDeliver(job, query.Failed{
		Reason: err.Error(),
	})
	return false
}

// requeueOrDeliver queues a job for another connection if it is idempotent or was not executed.
// A job that may not be queued again ends with the result.
func (s *Server) requeueOrDeliver(job *Job, result query.Result) {
	_, notExecuted := result.(query.NotExecuted)
	if (notExecuted || job.sub.Idempotent()) && s.requeue(job, !notExecuted) {
		return
	}
	s.deliver(job, result)
}

// deadlineExceeded fails and cancels a job whose deadline has passed. The connection stays usable
// if the reply to the cancelled request arrives within cancelGrace.
func (s *Server) deadlineExceeded(conn Conn, job *Job) (usable bool) {
	s.deliver(job, query.Failed{
		Reason: fmt.Sprintf("no reply of backend server %s within the deadline", s.spec.Address),
	})
	s.control.cancel(job)
	_, err := conn.Await(job.sub, time.Now().Add(cancelGrace))
	return err == nil
}

// handleReply delivers the result that corresponds to the outcome of a reply.
func (s *Server) handleReply(job *Job, reply Reply) {
	serviceTime := time.Since(job.started)
	s.updateStatus(reply.Status)
	s.mu.Lock()
	feedback := s.feedback(serviceTime)
	s.mu.Unlock()
	switch reply.Outcome {
	case Done, CutShort:
		s.recordServiceTime(serviceTime)
		s.deliver(job, query.Done{
			Snapshot: reply.Snapshot,
			Complete: reply.Outcome == Done,
			Hits:     reply.Hits,
			Feedback: feedback,
		})
	case SnapshotAbsent:
		s.deliver(job, query.SnapshotAbsent{
			Feedback: feedback,
		})
	case Shed:
		s.recordShed()
		s.deliver(job, query.NotExecuted{
			Cause:    query.Busy,
			Reason:   "server full",
			Feedback: feedback,
		})
	case Draining:
		s.deliver(job, query.NotExecuted{
			Reason:   "server draining",
			Feedback: feedback,
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
