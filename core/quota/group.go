package quota

import (
	"time"
)

// group is what the divider of a group of accounts knows.
type group struct {
	window    time.Duration
	followers map[string]follower
	ledgers   map[string]*ledger
	// movedAt is the time of the last report of a host that may have followed another divider in between, and changedAt that of
	// the last report of a host that was not known or may have done so.
	movedAt   time.Time
	changedAt time.Time
	expiredAt time.Time
}

// follower is a host that reports to this divider.
type follower struct {
	start    uint64
	sequence uint64
	at       time.Time
	validity time.Duration
	// steadyFrom is the time from which on the host has followed no other divider.
	steadyFrom time.Time
	// contributes is the time from which on the host's part of the slots belongs to this divider, and no other one. started is set
	// if its process had a reply of no divider before.
	contributes time.Time
	started     bool
	// quietFrom is the time from which on no use by an earlier process of the host counts any more.
	quietFrom time.Time
}

// fresh reports whether the host still counts as a follower. What is leased on its account ends before its reports bind it no longer.
func (f follower) fresh(now time.Time) bool { return elapsed(f.at, now) < f.validity }

// bound reports whether the host's reports still bind it.
func (f follower) bound(window time.Duration, now time.Time) bool {
	return elapsed(f.at, now) < promise(f.validity, window)
}

func newGroup(window time.Duration) *group {
	return &group{
		window:    window,
		followers: make(map[string]follower),
		ledgers:   make(map[string]*ledger),
	}
}

// ledger returns the ledger of an account.
func (g *group) ledger(account string) *ledger {
	l, ok := g.ledgers[account]
	if !ok {
		l = newLedger()
		g.ledgers[account] = l
	}
	return l
}

// record takes up what a report states. It reports false for a report that a later one has overtaken. The witness is a host that
// follows this divider at present; there may be none.
func (g *group) record(r Report, witness string, now time.Time) bool {
	f, known := g.followers[r.Host]
	if known && f.start == r.Start && r.Sequence <= f.sequence {
		return false
	}
	if known && f.start != r.Start {
		// The new process takes over that its host contributes, since no other divider may count it.
		g.forget(r, f, now)
		known = r.Start > f.start
	}
	if r.Moved || !known {
		g.changedAt = now
	}
	carries := !known
	if r.Moved {
		g.movedAt = now
		if !known || !g.witnessed(r.Host, f.at, witness, now) {
			g.doubt(now)
			carries = true
		}
		f.steadyFrom, f.quietFrom = now, now
	}
	if !known {
		f = follower{
			steadyFrom: now,
			quietFrom:  now,
		}
		if r.Fresh {
			f.quietFrom = now.Add(r.Promised - promise(r.Validity, g.window) + g.window)
		}
	}
	if carries {
		f.contributes = now.Add(r.Promised)
		f.started = r.Fresh
	}
	f.start, f.sequence, f.at, f.validity = r.Start, r.Sequence, now, r.Validity
	g.followers[r.Host] = f
	g.recordUses(r, carries, now)
	return true
}

// recordUses takes up what a report states of accounts. If carries is set, it is what the host held when it came.
func (g *group) recordUses(r Report, carries bool, now time.Time) {
	stated := make(map[string]Use, len(r.Uses))
	for _, use := range r.Uses {
		stated[use.Account] = use
		g.ledger(use.Account)
	}
	for account, l := range g.ledgers {
		use, old := stated[account], l.holds[r.Host]
		if r.Moved && old.slots > use.Held {
			// The host may have given the difference up to another divider, which has leased it to others.
			l.locks = append(l.locks, lock{
				slots: old.slots - use.Held,
				until: now.Add(r.Validity + g.window),
				moved: true,
			})
		}
		h := hold{
			slots:    use.Held,
			until:    now.Add(r.Validity),
			carried:  old.carried,
			latest:   use.Latest,
			demand:   use.Demand,
			followed: true,
		}
		if carries {
			h.carried = use.Held + use.Spent
			l.lockSlots(use.Spent, now.Add(tokenValidity+g.window))
		}
		l.holds[r.Host] = h
	}
}

// witnessed reports whether the witness has followed this divider, and no other one, since a bound host last reported at a time. No
// other divider can have heard all hosts meanwhile, and so have had more to lease than its followers held.
func (g *group) witnessed(host string, at time.Time, witness string, now time.Time) bool {
	f, ok := g.followers[witness]
	return ok && witness != host && g.followers[host].bound(g.window, now) && !f.steadyFrom.After(at)
}

// doubt takes back that the followers contribute, until they have shown again that they still follow this divider: where one host
// has followed another divider, others may.
func (g *group) doubt(now time.Time) {
	for host, f := range g.followers {
		if f.contributes.After(now) {
			continue
		}
		f.contributes = f.at.Add(promise(f.validity, g.window))
		g.followers[host] = f
		for _, l := range g.ledgers {
			if h, ok := l.holds[host]; ok {
				h.carried = h.slots
				l.holds[host] = h
			}
		}
	}
}

// forget drops what another process of the reporting host held. A process that is gone used it until now at most; a report of
// an earlier process may have been held up, while the later one goes on.
func (g *group) forget(r Report, f follower, now time.Time) {
	for _, l := range g.ledgers {
		until := now.Add(g.window)
		if r.Start < f.start {
			until = l.holds[r.Host].until.Add(g.window)
		}
		l.release(r.Host, until)
	}
	delete(g.followers, r.Host)
}

// expireInterval is the least time between two looks for what has ended. What has ended is kept for that time, no more.
const expireInterval = 100 * time.Millisecond

// expire drops what has ended.
func (g *group) expire(now time.Time) {
	if now.Sub(g.expiredAt) < expireInterval {
		return
	}
	g.expiredAt = now
	for host, f := range g.followers {
		if !f.bound(g.window, now) {
			delete(g.followers, host)
		}
	}
	for account, l := range g.ledgers {
		for host, h := range l.holds {
			h.followed = g.followers[host].fresh(now)
			l.holds[host] = h
		}
		l.expire(now, g.window)
		if len(l.holds) == 0 && len(l.locks) == 0 {
			delete(g.ledgers, account)
		}
	}
}

// settle makes all followers contribute if all hosts have reported since the last of them came from another divider, and no use
// by a process that is gone counts any more. Nothing is held then, or was used, that this divider doesn't know. It reports whether they
// contribute.
func (g *group) settle(hosts int, now time.Time) bool {
	n := 0
	for _, f := range g.followers {
		if f.fresh(now) && !f.at.Before(g.movedAt) && !f.quietFrom.After(now) {
			n++
		}
	}
	if n < hosts {
		return false
	}
	for host, f := range g.followers {
		if f.fresh(now) && f.contributes.After(now) {
			f.contributes = now
			g.followers[host] = f
		}
	}
	for _, l := range g.ledgers {
		l.dropMoved()
	}
	return true
}

// followerCount returns the number of hosts that follow this divider.
func (g *group) followerCount(now time.Time) int {
	n := 0
	for _, f := range g.followers {
		if f.fresh(now) {
			n++
		}
	}
	return n
}

// authority returns how many slots of an account this divider may lease in a fleet of that many hosts: the parts of the hosts that
// contribute, and what the other followers held when they came.
//
// Hosts that have just started held nothing, but their earlier processes may have used slots that nobody knows of. They have a part of
// the reserve. Their part of the other slots comes back evenly within a window, as the unknown uses leave it, unless the account is
// hot: then these may all have been late.
func (g *group) authority(q quantities, reserve, hosts int, now time.Time) int {
	contributing, started, carried := 0.0, 0.0, 0
	for host, f := range g.followers {
		switch {
		case !f.fresh(now):
		case !f.contributes.After(now):
			contributing++
		case f.started:
			known := 0.0
			if unknown := f.quietFrom.Sub(now); !q.hot {
				known = min(max(1-unknown.Seconds()/g.window.Seconds(), 0), 1)
			}
			contributing += known
			started += 1 - known
		default:
			carried += q.ledger.holds[host].carried
		}
	}
	slots, all := float64(q.slots-reserve), float64(max(hosts, 1))
	return min(int(slots*contributing/all)+carried, q.slots-reserve) + int(float64(reserve)*started/all)
}
