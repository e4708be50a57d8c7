package pool

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/core/query"
)

// EnsureOpen opens connections until there are n, within the bound.
func (p *serverPool) EnsureOpen(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.dropStale(now, n)
	for len(p.all)+p.dialing < min(n, p.bound) && !now.Before(p.nextDial) && !p.closed {
		if !p.dial(now) {
			return
		}
	}
}

// dial opens a connection if the bound permits one more.
func (p *serverPool) dial(now time.Time) bool {
	if len(p.all)+p.dialing >= p.bound || now.Before(p.nextDial) {
		return false
	}
	if !p.pool.start(p.connect) {
		return false
	}
	p.dialing++
	return true
}

// connect opens one connection and reads from it until it ends.
func (p *serverPool) connect(ctx context.Context) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, err := p.pool.dialer.Dial(dialCtx, p.server.Address)
	cancel()
	if err != nil {
		p.unreached(err)
		return nil
	}
	p.pool.count("opened")
	l := &lane{
		pool:    p,
		conn:    conn,
		lastUse: time.Now(),
	}
	if p.connected(l) {
		return l.run(ctx)
	}
	return errors.Wrapf(conn.Close(), "close connection to backend server %s", p.server.ID)
}

// connected takes in a new connection; it reports false when the pool has closed.
func (p *serverPool) connected(l *lane) bool {
	p.mu.Lock()
	p.dialing--
	p.down = false
	if p.closed {
		p.mu.Unlock()
		return false
	}
	p.all[l] = true
	p.release(l)
	return true
}

// unreached records that no connection could be opened; calls go back as not run when there is no other.
func (p *serverPool) unreached(err error) {
	p.pool.count("unreached")
	p.mu.Lock()
	p.dialing--
	p.postpone(time.Now())
	first := !p.down
	p.down = true
	var flushed []*Call
	if len(p.all) == 0 {
		flushed, p.waiting = p.waiting, nil
	}
	p.mu.Unlock()
	if first {
		p.pool.journal.Record("lane", p.server.ID, "down", err.Error())
	}
	for _, c := range flushed {
		p.deliver(c, query.NotExecuted{
			Reason: "server down",
		})
	}
}

// postpone makes the next dial wait, longer after each failure in a row.
func (p *serverPool) postpone(now time.Time) {
	p.backoff = min(max(2*p.backoff, redialMin), redialMax)
	p.nextDial = now.Add(p.backoff/2 + rand.N(p.backoff))
}
