package server

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// statusProbePeriod is the time between two status probes of a backend server.
	statusProbePeriod = 500 * time.Millisecond
	// probeTimeout bounds the wait for the reply to one probe; a probe that fails on a reused connection
	// is sent again on a new one.
	probeTimeout = 80 * time.Millisecond
	// inProgressTimeout bounds the wait of hasInProgress for both probes.
	inProgressTimeout = 250 * time.Millisecond
	// maxQueuedProbes is the largest number of probes and cancellations in the queue.
	maxQueuedProbes = 256
)

// controlConn sends probes and cancellations to a backend server on a connection of its own.
type controlConn struct {
	server   *Server
	requests chan probeRequest
}

// probeRequest is a queued probe or cancellation. The zero value asks for the status only.
type probeRequest struct {
	requestID string
	attempt   uint32
	cancel    bool
	// result receives the outcome; it is nil if nobody waits for it.
	result chan probeResult
}

// probeResult is the outcome of a probe for hasInProgress.
type probeResult struct {
	inProgress bool
	err        error
}

// newControlConn returns a controlConn that has no connection yet; run opens it.
func newControlConn(s *Server) *controlConn {
	return &controlConn{
		server:   s,
		requests: make(chan probeRequest, maxQueuedProbes),
	}
}

// run sends the queued probes, and a status probe in each period, until ctx ends.
func (c *controlConn) run(ctx context.Context) error {
	ticks := c.server.timer.Subscribe(ctx, statusProbePeriod)
	var conn Conn
	for {
		select {
		case <-ctx.Done():
			closeConn(conn)
			return nil
		case request := <-c.requests:
			conn = c.execute(ctx, conn, request)
		case <-ticks:
			conn = c.execute(ctx, conn, probeRequest{})
		}
	}
}

// cancel asks the server to end a job. The cancellation is dropped when the queue is full.
func (c *controlConn) cancel(job *Job) {
	select {
	case c.requests <- probeRequest{
		requestID: job.sub.RequestID,
		attempt:   job.sub.Attempt,
		cancel:    true,
	}:
	default:
	}
}

// hasInProgress asks the server whether it has the job in progress.
func (c *controlConn) hasInProgress(job *Job) (bool, error) {
	request := probeRequest{
		requestID: job.sub.RequestID,
		attempt:   job.sub.Attempt,
		result:    make(chan probeResult, 1),
	}
	timeout := time.NewTimer(inProgressTimeout)
	defer timeout.Stop()
	select {
	case c.requests <- request:
	case <-timeout.C:
		return false, ErrReplyTimeout
	}
	select {
	case result := <-request.result:
		return result.inProgress, result.err
	case <-timeout.C:
		return false, ErrReplyTimeout
	}
}

// execute sends one probe, again on a new connection if a reused one fails, and returns the connection to use next.
func (c *controlConn) execute(ctx context.Context, conn Conn, request probeRequest) Conn {
	reused := conn != nil
	conn, reply, err := c.probe(ctx, conn, request)
	if err != nil && reused {
		conn, reply, err = c.probe(ctx, conn, request)
	}
	if err == nil {
		c.server.updateStatus(reply.Status)
	}
	if request.result != nil {
		request.result <- probeResult{
			inProgress: reply.InProgress,
			err:        err,
		}
	}
	return conn
}

// probe sends one probe on conn, or on a new connection if conn is nil. After an error the returned connection is nil.
func (c *controlConn) probe(ctx context.Context, conn Conn, request probeRequest) (Conn, ProbeReply, error) {
	if conn == nil {
		fresh, err := c.server.dialer.Dial(ctx, c.server.spec.Address)
		if err != nil {
			return nil, ProbeReply{}, errors.Wrap(err, "probe")
		}
		conn = fresh
	}
	reply, err := conn.Probe(request.requestID, request.attempt, request.cancel, time.Now().Add(probeTimeout))
	if err != nil {
		closeConn(conn)
		return nil, ProbeReply{}, errors.Wrapf(err, "probe backend server %s", c.server.spec.Address)
	}
	return conn, reply, nil
}

// closeConn closes a connection, which may be nil.
func closeConn(conn Conn) {
	if conn != nil {
		_ = conn.Close()
	}
}
