package server

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// pollPeriod is the time between two status probes of a backend server.
	pollPeriod = 500 * time.Millisecond
	// probeTimeout bounds one probe; a probe on a connection that was open before is tried again on a new one.
	probeTimeout = 80 * time.Millisecond
	// inProgressTimeout bounds the wait for both tries.
	inProgressTimeout = 250 * time.Millisecond
	// maxQueuedProbes bounds the probes and cancellations that wait.
	maxQueuedProbes = 256
)

// controlConn carries probes and cancellations to a backend server on a connection of its own.
type controlConn struct {
	server   *Server
	requests chan probeRequest
}

// probeRequest is one probe; answer is nil when nobody waits for it.
type probeRequest struct {
	requestID string
	attempt   uint32
	cancel    bool
	result    chan probeResult
}

type probeResult struct {
	inProgress bool
	err        error
}

func newControlConn(s *Server) *controlConn {
	return &controlConn{
		server:   s,
		requests: make(chan probeRequest, maxQueuedProbes),
	}
}

// run sends probes until ctx ends.
func (c *controlConn) run(ctx context.Context) error {
	ticks := c.server.timer.Subscribe(ctx, pollPeriod)
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

// cancel asks the server to end a job, if there is room for the message.
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

// hasInProgress reports whether the server has the job in progress.
func (c *controlConn) hasInProgress(job *Job) (bool, error) {
	request := probeRequest{
		requestID: job.sub.RequestID,
		attempt:   job.sub.Attempt,
		result:    make(chan probeResult, 1),
	}
	limit := time.NewTimer(inProgressTimeout)
	defer limit.Stop()
	select {
	case c.requests <- request:
	case <-limit.C:
		return false, ErrReplyTimeout
	}
	select {
	case result := <-request.result:
		return result.inProgress, result.err
	case <-limit.C:
		return false, ErrReplyTimeout
	}
}

// execute carries out one ask, on a new connection if need be, and returns the connection to use next.
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

func closeConn(conn Conn) {
	if conn != nil {
		_ = conn.Close()
	}
}
