package pool

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"magnoliaworks/core/query"
)

const (
	// leavingTTL is the time for which a host remembers that a server leaves. The server's entry in the store is gone long
	// before.
	leavingTTL = 10 * time.Minute
	// maxQuietTime bounds the time for which a server gets no calls since it has asked for that.
	maxQuietTime = 10 * time.Minute
	// quietSpread and maxQuietSpread bound the random time by which hosts come back later: a share of the quiet time, and a
	// time.
	quietSpread    = 0.25
	maxQuietSpread = time.Second
)

// Notice is what a server says in a reply about further calls from this host.
type Notice struct {
	// Leaving is set when the server leaves and wants no new calls.
	Leaving bool
	// RetryAfter is the time for which the server wants no calls, since it turned one away; 0 if it states none.
	RetryAfter time.Duration
	// Invalid is the text of a time that can't be read, which is not heeded.
	Invalid string
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
	// leaving is set when the server does not come back.
	leaving bool
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

// QuietUntil returns the time until which a start of a server has asked for no calls; ok is false if it has not, or leaves.
func (p *Pool) QuietUntil(server string, incarnation int64, now time.Time) (until time.Time, ok bool) {
	r, restricted := p.notices.find(server, incarnation, now)
	return r.until, restricted && !r.leaving
}

// heed applies the notice of the reply to a call.
func (sp *serverPool) heed(call *Call, notice Notice) {
	if notice.Invalid != "" {
		sp.parent.journal.Record("lane", call.Server, "retry time ignored", fmt.Sprintf("%q is not a number of seconds", notice.Invalid))
	}
	switch {
	case notice.Leaving:
		sp.heedLeaving(call)
	case notice.RetryAfter > 0:
		sp.heedQuiet(call, notice.RetryAfter)
	}
}

// heedLeaving keeps all further calls from a server that leaves. Its connections get none either.
func (sp *serverPool) heedLeaving(call *Call) {
	now := time.Now()
	added := sp.parent.notices.put(call.Server, restriction{
		incarnation: call.incarnation,
		until:       now.Add(leavingTTL),
		reason:      "server is leaving",
		leaving:     true,
	}, now)
	if !added {
		return
	}
	sp.parent.journal.Record("lane", call.Server, "says that it leaves", fmt.Sprintf("in the reply to request %s", call.Message.ID))
	sp.refuseQueued("server is leaving")
	sp.retireConns()
}

// heedQuiet keeps further calls from a server for the time that it has asked for, and a random time longer, so that hosts do
// not come back all at once.
func (sp *serverPool) heedQuiet(call *Call, quiet time.Duration) {
	now := time.Now()
	bounded := min(quiet, maxQuietTime)
	spread := min(time.Duration(quietSpread*float64(bounded)), maxQuietSpread)
	added := sp.parent.notices.put(call.Server, restriction{
		incarnation: call.incarnation,
		until:       now.Add(bounded + rand.N(spread+1)),
		reason:      "server has asked for no calls for " + bounded.String(),
	}, now)
	if !added {
		return
	}
	sp.parent.countEvent("quiet")
	if quiet > maxQuietTime {
		sp.parent.journal.Record("lane", call.Server, "retry time bounded", fmt.Sprintf("%s is longer than %s", quiet, maxQuietTime))
	}
	sp.refuseQueued("server has asked for no calls for " + bounded.String())
}

// refuseQueued ends the queued calls as not executed.
func (sp *serverPool) refuseQueued(reason string) {
	sp.mu.Lock()
	flushed := sp.flush()
	sp.mu.Unlock()
	sp.deliverAll(flushed, query.NotExecuted{
		Reason: reason,
	})
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
