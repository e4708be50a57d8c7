package pool

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/core/query"
)

// EnsureOpen closes stale idle connections, and surplus ones while more than kept are open, and dials until n connections, but at most
// maxConns, are open or being dialled.
func (sp *serverPool) EnsureOpen(n, kept int) {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	now := time.Now()
	sp.closeStale(now, kept)
	if sp.unused >= maxUnusedRounds*n {
		return
	}
	for len(sp.conns)+sp.dialing < min(n, sp.maxConns) && !now.Before(sp.nextDial) && !sp.closed {
		if !sp.dial(now) {
			return
		}
	}
}

// dial starts to open a connection; it reports false if maxConns is reached, the redial backoff has not
// elapsed or the host is stopping. The caller holds mu.
func (sp *serverPool) dial(now time.Time) bool {
	if len(sp.conns)+sp.dialing >= sp.maxConns || now.Before(sp.nextDial) {
		return false
	}
	if !sp.parent.startTask(sp.connect) {
		return false
	}
	sp.dialing++
	return true
}

// connect opens one connection and reads from it until it is closed. It closes the connection when ctx ends, also that of a
// serverPool which the pool holds no longer.
func (sp *serverPool) connect(ctx context.Context) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, err := sp.parent.dialer.Dial(dialCtx, sp.server.Address)
	cancel()
	if err != nil {
		sp.dialFailed(err)
		return nil
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	sp.parent.countEvent("opened")
	pc := &pooledConn{
		owner:    sp,
		conn:     conn,
		lastUsed: time.Now(),
	}
	if sp.add(pc) {
		return pc.readLoop(ctx)
	}
	return errors.Wrapf(conn.Close(), "close connection to backend server %s", sp.server.ID)
}

// add puts a new connection into service; it reports false if the pool is closed.
func (sp *serverPool) add(pc *pooledConn) bool {
	sp.mu.Lock()
	sp.dialing--
	sp.down = false
	if sp.closed {
		sp.mu.Unlock()
		return false
	}
	sp.conns[pc] = true
	sp.release(pc)
	return true
}

// dialFailed records a failed dial. Without any open connection, queued calls end as not executed.
func (sp *serverPool) dialFailed(err error) {
	sp.parent.countEvent("unreached")
	sp.mu.Lock()
	sp.dialing--
	sp.backOff(time.Now())
	firstFailure := !sp.down
	sp.down = true
	var flushed []*Call
	refused := sp.refuseRepeats()
	if len(sp.conns) == 0 {
		flushed = sp.flush()
	}
	sp.mu.Unlock()
	if firstFailure {
		sp.parent.journal.Record("lane", sp.server.ID, "down", err.Error())
	}
	sp.deliverAll(flushed, query.NotExecuted{
		Reason: "server down",
	})
	sp.deliverAll(refused, noOtherConn())
}

// backOff delays the next dial by a jittered backoff that doubles with each failure in a row. The caller holds mu.
func (sp *serverPool) backOff(now time.Time) {
	sp.backoff = min(max(2*sp.backoff, minRedialBackoff), maxRedialBackoff)
	sp.nextDial = now.Add(sp.backoff/2 + rand.N(sp.backoff))
}
