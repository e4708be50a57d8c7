package pool

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/core/query"
)

const (
	// replyGrace is the time after a call's deadline within which its reply still lets the connection be reused.
	replyGrace = 100 * time.Millisecond
	// idleMargin is the safety margin before the server's idle timeout within which a connection is no longer reused.
	idleMargin = 500 * time.Millisecond
)

// pooledConn is one connection to a backend server. One goroutine reads all replies; the message of the
// assigned call may be written by another.
type pooledConn struct {
	owner *serverPool
	conn  Conn
	// The fields below are guarded by owner.mu.
	call *Call
	// sending is set while a message is waiting to be written or being written, started once the write of the message of call
	// has begun.
	sending bool
	started bool
	// repliedEarly is set when the reply arrived before the write of the message returned, and the connection can be
	// used for another call.
	repliedEarly bool
	// closing is set when the connection gets no further calls.
	closing bool
	// surplus is set when the pool closes the connection because it is idle, which says nothing about the server.
	surplus bool
	// used is set once a call was assigned.
	used bool
	// replied is set once a reply has arrived; lastUsed is the time of the last reply, or of the dial before that.
	replied  bool
	lastUsed time.Time
	// staleAt is the time from which the server may have closed the idle connection; zero if unknown.
	staleAt time.Time
}

// readLoop reads replies until the connection fails or gets no further calls. Bytes that arrive before a message is sent
// end it too. A panic, as over a malformed reply, ends this connection and its call alone.
func (pc *pooledConn) readLoop(context.Context) error {
	defer pc.owner.remove(pc)
	defer func() {
		if recovered := recover(); recovered != nil {
			pc.owner.countEvent("panic")
			pc.owner.parent.journal.RecordPanic("lane", pc.owner.server.ID, recovered)
			pc.failCall(errors.New("internal error while the reply was read"))
		}
	}()
	for {
		if err := pc.conn.WaitReadable(); err != nil {
			pc.failCall(err)
			return nil
		}
		call := pc.owner.startedCall(pc)
		if call == nil {
			pc.owner.countEvent("unasked")
			return nil
		}
		reply, err := pc.conn.Receive(call.Message, call.Server)
		if err != nil {
			pc.failCall(err)
			return nil
		}
		if reply.Mismatched {
			pc.owner.markClosing(pc)
			continue
		}
		if !pc.owner.handleReply(pc, reply) {
			return nil
		}
	}
}

// send writes the message of the call that is assigned to the connection, unless the call has ended since.
func (pc *pooledConn) send(call *Call) {
	if err := pc.conn.SetReadDeadline(call.Deadline.Add(replyGrace)); err != nil {
		pc.failNotSent(errors.Wrap(err, "set read deadline"))
		return
	}
	if !pc.owner.startSend(pc, call) {
		return
	}
	err := pc.conn.Send(call.Message, call.Server, call.Deadline)
	switch {
	case err == nil:
		pc.owner.handleSent(pc)
	case errors.Is(err, ErrNotSent):
		pc.failNotSent(err)
	default:
		pc.failCall(err)
		_ = pc.conn.Close()
	}
}

// failNotSent ends the call as not executed and closes the connection.
func (pc *pooledConn) failNotSent(err error) {
	pc.owner.endCall(pc, query.NotExecuted{
		Reason: err.Error(),
	})
	_ = pc.conn.Close()
}

// failCall ends the call, if any, after its connection failed. The server may have executed it.
func (pc *pooledConn) failCall(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errors.New("no reply before the read deadline")
	}
	pc.owner.endCall(pc, query.Failed{
		Reason: fmt.Sprintf("backend server %s: %s", pc.owner.server.ID, err),
	})
}
