package pool

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/core/query"
	"magnoliaworks/core/route"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// redialMin and redialMax bound the wait after a connection could not be opened.
	redialMin = 100 * time.Millisecond
	redialMax = 2 * time.Second
	// surplusIdle is the time after which an idle connection beyond the warm ones is closed.
	surplusIdle = 2 * time.Second
	// inlineBody is the number of bytes that fit the send buffer of any connection.
	inlineBody = 8 << 10
	// maxWaiting bounds the calls that wait for a connection.
	maxWaiting = 64
)

// errStopped reports that the host has ended.
var errStopped = errors.New("host stopped")

// serverPool holds the connections to one backend server.
type serverPool struct {
	pool   *Pool
	server route.Server

	mu sync.Mutex
	// bound is the largest number of connections.
	bound int
	idle  []*lane
	// all holds the connections that are open, idle or not.
	all     map[*lane]bool
	dialing int
	waiting []*Call
	// down is set from a failed dial until one succeeds; nextDial is the time of the next try.
	down     bool
	nextDial time.Time
	backoff  time.Duration
	closed   bool
}

// Submit runs a call on an idle connection, or queues it until one is free.
func (p *serverPool) Submit(call *Call) {
	now := time.Now()
	call.queued = now
	p.pool.observer.Started(call.Server, call.Kind)
	p.mu.Lock()
	l := p.takeIdle(now)
	if l != nil {
		p.own(l, call, now)
		p.mu.Unlock()
		p.write(l, call)
		return
	}
	reason := p.queue(call, now)
	p.mu.Unlock()
	if reason != "" {
		p.deliver(call, query.NotExecuted{
			Reason: reason,
		})
	}
}

// queue lets the call wait for a connection, or returns the reason why it can't.
func (p *serverPool) queue(call *Call, now time.Time) string {
	switch {
	case p.closed:
		return "server gone"
	case p.down && len(p.all) == 0 && now.Before(p.nextDial):
		return "server down"
	case len(p.waiting) >= maxWaiting:
		return "too many calls wait for a connection"
	}
	p.waiting = append(p.waiting, call)
	if p.dialing < len(p.waiting) {
		p.dial(now)
	}
	return ""
}

// Cancel gives up a call: it is withdrawn if it waits, and otherwise its connection ends after the grace.
// It reports whether the call was withdrawn and hence has not run.
func (p *serverPool) Cancel(call *Call, grace time.Duration) (withdrawn bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if call.ended || call.withdrawn {
		return call.withdrawn
	}
	for i, c := range p.waiting {
		if c == call {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			call.withdrawn = true
			p.pool.observer.Cancelled(call.Server, call.Kind, time.Since(call.queued), false)
			return true
		}
	}
	if call.lane != nil && call.lane.call == call {
		if err := call.lane.conn.SetReadDeadline(time.Now().Add(grace)); err != nil {
			p.pool.count("expire_failed")
		}
	}
	return false
}

// takeIdle returns the idle lane that was used last, and closes those that may be stale.
func (p *serverPool) takeIdle(now time.Time) *lane {
	p.dropStale(now, len(p.all))
	if len(p.idle) == 0 {
		return nil
	}
	l := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return l
}

// dropStale closes idle connections that the server may have closed, and those beyond n that have been idle for long.
func (p *serverPool) dropStale(now time.Time, n int) {
	kept := p.idle[:0]
	for i, l := range p.idle {
		stale := !l.staleAt.IsZero() && now.After(l.staleAt)
		surplus := len(p.all)-i+len(kept) > n && now.Sub(l.lastUse) > surplusIdle
		if stale || surplus {
			_ = l.conn.Close()
			continue
		}
		kept = append(kept, l)
	}
	p.idle = kept
}

func (p *serverPool) own(l *lane, call *Call, now time.Time) {
	l.call, l.sending = call, true
	call.lane, call.sent = l, now
}

// release hands a free lane to the call that has waited longest, or makes it idle. It unlocks the pool.
func (p *serverPool) release(l *lane) {
	if len(p.waiting) == 0 || l.retired {
		if !l.retired {
			p.idle = append(p.idle, l)
		}
		p.mu.Unlock()
		return
	}
	call := p.waiting[0]
	p.waiting = p.waiting[1:]
	p.own(l, call, time.Now())
	p.mu.Unlock()
	p.write(l, call)
}

// write sends the lane's call; a long body goes out beside the reading, since the server may answer before it has read all.
func (p *serverPool) write(l *lane, call *Call) {
	if len(call.Message.Body) <= inlineBody {
		l.send(call)
		return
	}
	started := p.pool.start(func(context.Context) error {
		l.send(call)
		return nil
	})
	if !started {
		l.unsent(errStopped)
	}
}

// sent records that the lane's message has been written whole, and frees the lane if its reply has already come.
func (p *serverPool) sent(l *lane) {
	p.mu.Lock()
	l.sending = false
	answered := l.answered
	l.answered = false
	p.mu.Unlock()
	if answered && !p.free(l) {
		_ = l.conn.Close()
	}
}

func (p *serverPool) count(what string) { p.pool.count(what) }
