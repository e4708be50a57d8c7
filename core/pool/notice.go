package pool

import (
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"magnoliaworks/core/query"
)

// leavingTTL is the time for which a host remembers that a server leaves. The server's entry in the store is gone long before.
const leavingTTL = 10 * time.Minute

// Notice is what a server says in a reply about further calls from this host.
type Notice struct {
	// Leaving is set when the server leaves and wants no new calls.
	Leaving bool
}

// notices holds the restrictions in force by server ID. It is safe for concurrent use, and cheap to read.
type notices struct {
	current atomic.Pointer[map[string]restriction]
	mu      sync.Mutex
}

// restriction keeps calls from one start of a server until a time.
type restriction struct {
	incarnation int64
	until       time.Time
	reason      string
}

// find returns the restriction in force for one start of a server; ok is false if there is none.
func (n *notices) find(server string, incarnation int64, now time.Time) (r restriction, ok bool) {
	current := n.current.Load()
	if current == nil {
		return restriction{}, false
	}
	r, ok = (*current)[server]
	return r, ok && r.incarnation == incarnation && now.Before(r.until)
}

// put adds a restriction, unless one for the same start lasts longer, and drops those that are over. It reports whether it was
// added.
func (n *notices) put(server string, r restriction, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if known, ok := n.find(server, r.incarnation, now); ok && !known.until.Before(r.until) {
		return false
	}
	next := make(map[string]restriction)
	if current := n.current.Load(); current != nil {
		maps.Copy(next, *current)
	}
	maps.DeleteFunc(next, func(_ string, old restriction) bool { return now.After(old.until) })
	next[server] = r
	n.current.Store(&next)
	return true
}

// Accepts reports whether a start of a server has not asked this host to send it no more calls. Calls to other ones end as not
// executed.
func (p *Pool) Accepts(server string, incarnation int64, now time.Time) bool {
	_, restricted := p.notices.find(server, incarnation, now)
	return !restricted
}

// heed applies the notice of the reply to a call. If the server leaves, its connections get no further calls.
func (sp *serverPool) heed(call *Call, notice Notice) {
	if !notice.Leaving {
		return
	}
	now := time.Now()
	added := sp.parent.notices.put(call.Server, restriction{
		incarnation: call.incarnation,
		until:       now.Add(leavingTTL),
		reason:      "server is leaving",
	}, now)
	if !added {
		return
	}
	sp.parent.journal.Record("lane", call.Server, "says that it leaves", fmt.Sprintf("in the reply to request %s", call.Message.ID))
	sp.refuseQueued("server is leaving")
	sp.retireConns()
}

// refuseQueued ends the queued calls as not executed.
func (sp *serverPool) refuseQueued(reason string) {
	sp.mu.Lock()
	flushed := sp.flush()
	sp.mu.Unlock()
	for _, call := range flushed {
		sp.deliver(call, query.NotExecuted{
			Reason: reason,
		})
	}
}

// retireConns closes the idle connections and keeps further calls off those in use.
func (sp *serverPool) retireConns() {
	sp.mu.Lock()
	idle := sp.idle
	sp.idle = nil
	for pc := range sp.conns {
		pc.closing, pc.surplus = true, true
	}
	sp.mu.Unlock()
	for _, pc := range idle {
		_ = pc.conn.Close()
	}
}
