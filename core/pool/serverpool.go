package pool

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/core/query"
	"magnoliaworks/core/route"
)

const (
	dialTimeout = time.Second
	// minRedialBackoff and maxRedialBackoff bound the backoff after a failed dial, before jitter.
	minRedialBackoff = 100 * time.Millisecond
	maxRedialBackoff = 2 * time.Second
	// overCapTime is the time within which a server closes a connection that is over its limit.
	overCapTime = 500 * time.Millisecond
	// maxUnusedRounds is the number of times that all connections opened in advance may be closed unused by the server, after which none
	// is opened until the server gets a call.
	maxUnusedRounds = 2
	// surplusIdleTimeout is the idle time after which a connection beyond the number to keep open is closed.
	surplusIdleTimeout = 2 * time.Second
	// maxInlineBodyBytes is the largest body that is written without a goroutine of its own: it fits into the send
	// buffer of any connection, so that the write does not block.
	maxInlineBodyBytes = 8 << 10
	// maxQueuedCalls bounds the calls to one server that wait for a connection.
	maxQueuedCalls = 64
)

// errStopped is the reason of calls that were not sent because the host stopped.
var errStopped = errors.New("host stopped")

// serverPool holds the connections to one backend server.
type serverPool struct {
	parent *Pool
	server route.Server

	mu sync.Mutex
	// maxConns is the largest number of connections that this host may open to the server.
	maxConns int
	idle     []*pooledConn
	// conns holds all open connections, idle or busy; dialing counts those that are being opened.
	conns   map[*pooledConn]bool
	dialing int
	queue   []*Call
	// down is set from a failed dial until one succeeds; nextDial is the earliest time of the next dial.
	down bool
	// unused counts the connections that were closed unused since the last call.
	unused   int
	nextDial time.Time
	backoff  time.Duration
	closed   bool
}

// Submit sends a call on an idle connection, or queues it until a connection is available.
func (sp *serverPool) Submit(call *Call) {
	now := time.Now()
	sp.parent.observer.Started(call.Server, call.Kind)
	sp.mu.Lock()
	call.queuedAt = now
	sp.unused = 0
	if r, restricted := sp.parent.notices.find(call.Server, call.incarnation, now); restricted {
		call.ended = true
		sp.mu.Unlock()
		sp.deliver(call, query.NotExecuted{
			Reason: r.reason,
		})
		return
	}
	pc := sp.takeIdle(call, now)
	if pc != nil {
		sp.assign(pc, call, now)
		sp.mu.Unlock()
		sp.write(pc, call)
		return
	}
	refusal, queued := sp.enqueue(call, now)
	call.ended = !queued
	sp.mu.Unlock()
	if !queued {
		sp.deliver(call, refusal)
	}
}

// enqueue appends the call to the queue and dials if fewer dials are under way than calls are queued. It returns the
// refusal and false if the call can't be queued. The caller holds mu.
func (sp *serverPool) enqueue(call *Call, now time.Time) (refusal query.NotExecuted, queued bool) {
	switch {
	case sp.closed:
		return query.NotExecuted{
			Reason: "connections to the server are closed",
		}, false
	case sp.down && len(sp.conns) == 0 && now.Before(sp.nextDial):
		return query.NotExecuted{
			Reason: "server down",
		}, false
	case len(call.Earlier) > 0 && now.Before(sp.nextDial):
		return noOtherConn(), false
	case len(sp.queue) >= maxQueuedCalls:
		return query.NotExecuted{
			Cause:  query.Busy,
			Reason: "too many calls wait for a connection",
		}, false
	}
	sp.queue = append(sp.queue, call)
	if sp.dialing < len(sp.queue) && !sp.dial(now) && len(sp.idle) > 0 {
		// The call may use none of the idle connections. The end of one makes room for another.
		pc := sp.idle[0]
		sp.idle = sp.idle[1:]
		sp.retire(pc)
	}
	return query.NotExecuted{}, true
}

// detach takes the call off its connection, on which no call is in progress then, and returns it; nil if there was none.
// The caller holds mu and delivers the result.
func (sp *serverPool) detach(pc *pooledConn) *Call {
	call := pc.call
	pc.call = nil
	if call != nil {
		call.ended = true
	}
	return call
}

// flush empties the queue and returns its calls. The caller holds mu and delivers their results.
func (sp *serverPool) flush() []*Call {
	flushed := sp.queue
	sp.queue = nil
	for _, call := range flushed {
		call.ended = true
	}
	return flushed
}

// Cancel cancels a call. A queued call is withdrawn; a call in progress may still be answered within the grace period,
// after which its connection is closed. It reports whether the call was withdrawn and so was never sent.
func (sp *serverPool) Cancel(call *Call, grace time.Duration) (withdrawn bool) {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	if call.ended {
		return call.withdrawn
	}
	for i, c := range sp.queue {
		if c == call {
			sp.queue = append(sp.queue[:i], sp.queue[i+1:]...)
			call.ended, call.withdrawn = true, true
			sp.parent.observer.Cancelled(call.Server, call.Kind, time.Since(call.queuedAt), false)
			return true
		}
	}
	if call.assigned != nil {
		if err := call.assigned.conn.SetReadDeadline(time.Now().Add(grace)); err != nil {
			sp.parent.countEvent("expire_failed")
		}
	}
	return false
}

// takeIdle removes and returns the idle connection that was used most recently of those that the call may use, or returns nil.
// Stale connections are closed first. The caller holds mu.
func (sp *serverPool) takeIdle(call *Call, now time.Time) *pooledConn {
	sp.closeStale(now, len(sp.conns))
	for i := len(sp.idle) - 1; i >= 0; i-- {
		pc := sp.idle[i]
		if !pc.closing && !call.mayUse(pc) {
			continue
		}
		sp.idle = slices.Delete(sp.idle, i, i+1)
		// The reader of a closing connection has ended; remove is about to drop it.
		if !pc.closing {
			return pc
		}
	}
	return nil
}

// closeStale closes idle connections that the server may have closed and, while more than n connections are open, busy
// ones included, those that have been idle for longer than surplusIdleTimeout. The caller holds mu.
func (sp *serverPool) closeStale(now time.Time, n int) {
	kept := sp.idle[:0]
	for i, pc := range sp.idle {
		stale := !pc.staleAt.IsZero() && now.After(pc.staleAt)
		surplus := len(sp.conns)-i+len(kept) > n && now.Sub(pc.lastUsed) > surplusIdleTimeout
		if stale || surplus {
			pc.surplus = true
			_ = pc.conn.Close()
			continue
		}
		kept = append(kept, pc)
	}
	sp.idle = kept
}

// assign binds a call to a connection, on which nothing else may be sent until the call ends. The caller holds mu.
func (sp *serverPool) assign(pc *pooledConn, call *Call, now time.Time) {
	pc.call, pc.used, pc.sending, pc.started = call, true, true, false
	call.assigned, call.sentAt = pc, now
}

// release sends the call that has waited longest of those that may use the connection, or makes the connection idle.
// The caller holds mu, which release unlocks.
func (sp *serverPool) release(pc *pooledConn) {
	i := slices.IndexFunc(sp.queue, func(call *Call) bool { return call.mayUse(pc) })
	if i < 0 || pc.closing {
		sp.park(pc)
		sp.mu.Unlock()
		return
	}
	call := sp.queue[i]
	sp.queue = slices.Delete(sp.queue, i, i+1)
	sp.assign(pc, call, time.Now())
	sp.mu.Unlock()
	sp.write(pc, call)
}

// park makes a connection idle, or closes it in favour of another one that the queued calls need. The caller holds mu.
func (sp *serverPool) park(pc *pooledConn) {
	switch {
	case pc.closing:
	case sp.dialing < len(sp.queue) && !sp.dial(time.Now()):
		sp.retire(pc)
	default:
		sp.idle = append(sp.idle, pc)
	}
}

// retire closes a connection that is neither idle nor in use. Its end says nothing about the server. The caller holds mu.
func (sp *serverPool) retire(pc *pooledConn) {
	pc.closing, pc.surplus = true, true
	_ = pc.conn.Close()
}

// noOtherConn is the result of a call that may use none of the open connections while no other one can be dialled.
func noOtherConn() query.NotExecuted {
	return query.NotExecuted{
		Reason: "the server accepts no connection that has not carried the message",
	}
}

// refuseRepeats takes the calls that need another connection off the queue and returns them. The caller holds mu and delivers
// their results.
func (sp *serverPool) refuseRepeats() []*Call {
	var refused []*Call
	sp.queue = slices.DeleteFunc(sp.queue, func(call *Call) bool {
		if len(call.Earlier) == 0 {
			return false
		}
		call.ended = true
		refused = append(refused, call)
		return true
	})
	return refused
}

// write sends the call on its connection. A long body is written by a goroutine of its own: the server may reply before
// it has read the whole body, and write may run on the goroutine that reads the reply.
func (sp *serverPool) write(pc *pooledConn, call *Call) {
	if len(call.Message.Body) <= maxInlineBodyBytes {
		pc.send(call)
		return
	}
	started := sp.parent.startTask(func(context.Context) error {
		pc.send(call)
		return nil
	})
	if !started {
		pc.failNotSent(errStopped)
	}
}

// handleSent records that the message was written whole, and makes the connection available if the reply has already
// arrived.
func (sp *serverPool) handleSent(pc *pooledConn) {
	sp.mu.Lock()
	pc.sending = false
	repliedEarly := pc.repliedEarly
	pc.repliedEarly = false
	sp.mu.Unlock()
	if repliedEarly && !sp.reuse(pc) {
		_ = pc.conn.Close()
	}
}

func (sp *serverPool) countEvent(what string) { sp.parent.countEvent(what) }
