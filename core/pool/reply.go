package pool

import (
	"time"

	"magnoliaworks/core/query"
)

// startSend records that the message of a call is about to be written; it reports false if the call has ended.
func (sp *serverPool) startSend(pc *pooledConn, call *Call) bool {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	if pc.call != call {
		return false
	}
	pc.started = true
	return true
}

// startedCall returns the call in progress to which bytes that have arrived can belong. If there is none, the connection
// gets no further calls, and a call whose message has not been written ends as not executed.
func (sp *serverPool) startedCall(pc *pooledConn) *Call {
	sp.mu.Lock()
	if pc.call != nil && pc.started {
		defer sp.mu.Unlock()
		return pc.call
	}
	unsent := sp.detach(pc)
	pc.closing = true
	sp.mu.Unlock()
	if unsent != nil {
		sp.deliver(unsent, query.NotExecuted{
			Reason: "bytes arrived on the connection before the message was sent",
		})
	}
	return nil
}

// markClosing keeps further calls off the connection, which is closed after its current call.
func (sp *serverPool) markClosing(pc *pooledConn) {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	pc.closing = true
}

// handleReply delivers a reply and reports whether the connection stays open. While the message of the call is still
// being written, the connection gets no other call; handleSent makes it available afterwards. If the write has failed
// meanwhile, the call has ended and the reply is dropped.
func (sp *serverPool) handleReply(pc *pooledConn, reply Reply) bool {
	sp.mu.Lock()
	call := sp.detach(pc)
	if call == nil {
		sp.mu.Unlock()
		return false
	}
	pc.closing = pc.closing || reply.Close || reply.Notice.Leaving || sp.closed
	reusable := !pc.closing
	pc.repliedEarly = pc.sending && reusable
	repliedEarly := pc.repliedEarly
	pc.replied, pc.lastUsed = true, time.Now()
	sp.backoff, sp.nextDial = 0, time.Time{}
	if reply.IdleTimeout > 0 {
		pc.staleAt = time.Now().Add(reply.IdleTimeout - idleMargin)
	}
	sp.mu.Unlock()
	sp.heed(call, reply.Notice)
	sp.deliver(call, reply.Result)
	if !reusable {
		return false
	}
	return repliedEarly || sp.reuse(pc)
}

// reuse makes a connection available for the next call; it reports false if the connection is unusable.
func (sp *serverPool) reuse(pc *pooledConn) bool {
	if err := pc.conn.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	sp.mu.Lock()
	sp.release(pc)
	return true
}

// endCall ends the call in progress, if any, with a result; the connection gets no further calls.
func (sp *serverPool) endCall(pc *pooledConn, result query.Result) {
	sp.mu.Lock()
	call := sp.detach(pc)
	pc.closing = true
	sp.mu.Unlock()
	if call != nil {
		sp.deliver(call, result)
	}
}

// remove closes a connection and drops it from the pool. One that ended at once without any reply delays the next dial like a failed
// dial, unless closeStale closed it; one that ended unused later was idle for too long. If more calls are queued than connections are being dialled, it dials another one.
func (sp *serverPool) remove(pc *pooledConn) {
	_ = pc.conn.Close()
	sp.deliverAll(sp.drop(pc, time.Now()), noOtherConn())
}

// drop is remove without the close. It returns the calls that need a connection that can't be dialled now.
func (sp *serverPool) drop(pc *pooledConn, now time.Time) (refused []*Call) {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	delete(sp.conns, pc)
	switch {
	case pc.replied || pc.surplus:
	case !pc.used && now.Sub(pc.lastUsed) >= overCapTime:
		sp.unused++
	default:
		sp.parent.countEvent("reset_unused")
		sp.backOff(now)
		refused = sp.refuseRepeats()
	}
	for i, other := range sp.idle {
		if other == pc {
			sp.idle = append(sp.idle[:i], sp.idle[i+1:]...)
			break
		}
	}
	if len(sp.queue) > sp.dialing {
		sp.dial(now)
	}
	return refused
}

// deliver passes the result of a call that has ended to the observer and to the call, with the time since sending, or since
// queueing if it was not sent.
func (sp *serverPool) deliver(call *Call, result query.Result) {
	since := call.sentAt
	if since.IsZero() {
		since = call.queuedAt
	}
	sp.parent.observer.Finished(call.Server, call.Kind, time.Since(since), result)
	call.OnResult(result)
}

// deliverAll passes the same result to calls that have ended.
func (sp *serverPool) deliverAll(calls []*Call, result query.Result) {
	for _, call := range calls {
		sp.deliver(call, result)
	}
}

// close closes the idle connections. Calls in progress continue, queued ones end as not executed.
func (sp *serverPool) close() {
	sp.mu.Lock()
	sp.closed = true
	idle, flushed := sp.idle, sp.flush()
	sp.idle = nil
	sp.mu.Unlock()
	for _, pc := range idle {
		_ = pc.conn.Close()
	}
	sp.deliverAll(flushed, query.NotExecuted{
		Reason: "connections to the server are closed",
	})
}
