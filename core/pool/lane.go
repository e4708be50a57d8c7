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
	// replyGrace is the time beyond a call's end in which its reply still frees the connection for another call.
	replyGrace = 100 * time.Millisecond
	// idleMargin is the time before the end of a stated idle limit from which a connection is not used again.
	idleMargin = 500 * time.Millisecond
)

// lane is one connection. Its task reads all that arrives; senders write to it while they own it.
type lane struct {
	pool *serverPool
	conn Conn
	// The rest belongs to pool.mu.
	call *Call
	// sending is set while a message is being written.
	sending bool
	// answered is set when the reply has come before the sender knew that the message had left whole.
	answered bool
	// retired is set when the connection is to end after the present call.
	retired bool
	// served is set once a reply has arrived; lastUse is the time of the last one.
	served  bool
	lastUse time.Time
	// staleAt is the time from which an idle connection may have been closed by the server; zero when not known.
	staleAt time.Time
}

// run reads replies until the connection ends.
func (l *lane) run(context.Context) error {
	defer l.pool.removed(l)
	for {
		if err := l.conn.WaitReadable(); err != nil {
			l.lost(err)
			return nil
		}
		call := l.pool.callOn(l)
		if call == nil {
			l.pool.count("unasked")
			return nil
		}
		reply, err := l.conn.Receive(call.Message)
		if err != nil {
			l.lost(err)
			return nil
		}
		if reply.Mismatched {
			l.pool.retire(l)
			continue
		}
		if !l.pool.replied(l, reply) {
			return nil
		}
	}
}

// send writes the call that the lane owns.
func (l *lane) send(call *Call) {
	if err := l.conn.SetReadDeadline(call.Until.Add(replyGrace)); err != nil {
		l.unsent(errors.Wrap(err, "limit the wait"))
		return
	}
	err := l.conn.Send(call.Message, call.Server, call.Until)
	switch {
	case err == nil:
		l.pool.sent(l)
	case errors.Is(err, ErrNotSent):
		l.unsent(err)
	default:
		l.lost(err)
		_ = l.conn.Close()
	}
}

// unsent gives the call back as not run and ends the connection.
func (l *lane) unsent(err error) {
	l.pool.end(l, query.NotExecuted{
		Reason: err.Error(),
	})
	_ = l.conn.Close()
}

// lost ends the lane's call after the connection has failed: a message that was sent may have run.
func (l *lane) lost(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errors.New("no reply in time")
	}
	l.pool.end(l, query.Failed{
		Reason: fmt.Sprintf("backend server %s: %s", l.pool.server.ID, err),
	})
}
