package pool

import (
	"time"

	"magnoliaworks/core/query"
)

// callOn returns the call that the lane runs, or nil.
func (p *serverPool) callOn(l *lane) *Call {
	p.mu.Lock()
	defer p.mu.Unlock()
	return l.call
}

// retire makes the lane end after its call.
func (p *serverPool) retire(l *lane) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.retired = true
}

// replied delivers a reply and reports whether the lane can carry another call.
// While the rest of its message is still due, the lane stays with the sender, who frees it.
func (p *serverPool) replied(l *lane, reply Reply) bool {
	p.mu.Lock()
	call := l.call
	l.call = nil
	l.retired = l.retired || reply.Close || p.closed
	reusable := !l.retired
	l.answered = l.sending && reusable
	sending := l.answered
	l.served, l.lastUse = true, time.Now()
	p.backoff, p.nextDial = 0, time.Time{}
	if reply.IdleTimeout > 0 {
		l.staleAt = time.Now().Add(reply.IdleTimeout - idleMargin)
	}
	p.mu.Unlock()
	p.deliver(call, reply.Result)
	if !reusable {
		return false
	}
	return sending || p.free(l)
}

// free makes a lane whose exchange is over take the next call; it reports false when the connection is of no use.
func (p *serverPool) free(l *lane) bool {
	if err := l.conn.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	p.mu.Lock()
	p.release(l)
	return true
}

// end ends the lane's call with a result, if it has one.
func (p *serverPool) end(l *lane, result query.Result) {
	p.mu.Lock()
	call := l.call
	l.call = nil
	l.retired = true
	p.mu.Unlock()
	if call != nil {
		p.deliver(call, result)
	}
}

// removed forgets a lane whose connection has ended.
func (p *serverPool) removed(l *lane) {
	_ = l.conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.all, l)
	if !l.served {
		p.pool.count("reset_unused")
		p.postpone(time.Now())
	}
	for i, other := range p.idle {
		if other == l {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			break
		}
	}
	if len(p.waiting) > p.dialing {
		p.dial(time.Now())
	}
}

func (p *serverPool) deliver(call *Call, result query.Result) {
	since := call.sent
	if since.IsZero() {
		since = call.queued
	}
	p.pool.observer.Finished(call.Server, call.Kind, time.Since(since), result)
	call.finish(result)
}

// close ends the idle connections; calls in progress finish, waiting ones go back as not run.
func (p *serverPool) close() {
	p.mu.Lock()
	p.closed = true
	idle, flushed := p.idle, p.waiting
	p.idle, p.waiting = nil, nil
	p.mu.Unlock()
	for _, l := range idle {
		_ = l.conn.Close()
	}
	for _, c := range flushed {
		p.deliver(c, query.NotExecuted{
			Reason: "server gone",
		})
	}
}

// abort ends all connections; calls in progress end as if their connection had been lost.
func (p *serverPool) abort() {
	p.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.all {
		_ = l.conn.Close()
	}
}
