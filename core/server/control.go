package server

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// pollPeriod is the time between two status probes of a backend server.
	pollPeriod = 500 * time.Millisecond
	// probeLimit bounds one probe; a probe on a connection that was open before is tried again on a new one.
	probeLimit = 80 * time.Millisecond
	// knowsLimit bounds the wait for both tries.
	knowsLimit = 250 * time.Millisecond
	// maxAsks bounds the probes and cancellations that wait.
	maxAsks = 256
)

// control carries probes and cancellations to a backend server on a connection of its own.
type control struct {
	server *Server
	asks   chan ask
}

// ask is one probe; answer is nil when nobody waits for it.
type ask struct {
	requestID string
	attempt   uint32
	cancel    bool
	answer    chan askReply
}

type askReply struct {
	known bool
	err   error
}

func newControl(s *Server) *control {
	return &control{
		server: s,
		asks:   make(chan ask, maxAsks),
	}
}

// run sends probes until ctx ends.
func (c *control) run(ctx context.Context) error {
	ticks := c.server.timer.Subscribe(ctx, pollPeriod)
	var conn Conn
	for {
		select {
		case <-ctx.Done():
			closeConn(conn)
			return nil
		case a := <-c.asks:
			conn = c.send(ctx, conn, a)
		case <-ticks:
			conn = c.send(ctx, conn, ask{})
		}
	}
}

// cancel asks the server to end a job, if there is room for the message.
func (c *control) cancel(job *Job) {
	select {
	case c.asks <- ask{
		requestID: job.sub.RequestID,
		attempt:   job.sub.Attempt,
		cancel:    true,
	}:
	default:
	}
}

// knows reports whether the server has the job in progress.
func (c *control) knows(job *Job) (bool, error) {
	a := ask{
		requestID: job.sub.RequestID,
		attempt:   job.sub.Attempt,
		answer:    make(chan askReply, 1),
	}
	limit := time.NewTimer(knowsLimit)
	defer limit.Stop()
	select {
	case c.asks <- a:
	case <-limit.C:
		return false, ErrReplyTimeout
	}
	select {
	case r := <-a.answer:
		return r.known, r.err
	case <-limit.C:
		return false, ErrReplyTimeout
	}
}

// send carries out one ask, on a new connection if need be, and returns the connection to use next.
func (c *control) send(ctx context.Context, conn Conn, a ask) Conn {
	reused := conn != nil
	conn, reply, err := c.try(ctx, conn, a)
	if err != nil && reused {
		conn, reply, err = c.try(ctx, conn, a)
	}
	if err == nil {
		c.server.observe(reply.Status)
	}
	if a.answer != nil {
		a.answer <- askReply{
			known: reply.InProgress,
			err:   err,
		}
	}
	return conn
}

func (c *control) try(ctx context.Context, conn Conn, a ask) (Conn, ProbeReply, error) {
	if conn == nil {
		fresh, err := c.server.dialer.Dial(ctx, c.server.spec.Address)
		if err != nil {
			return nil, ProbeReply{}, errors.Wrap(err, "probe")
		}
		conn = fresh
	}
	reply, err := conn.Probe(a.requestID, a.attempt, a.cancel, time.Now().Add(probeLimit))
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
