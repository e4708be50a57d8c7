package quota

import (
	"sync"
	"time"

	"magnoliaworks/core/topo"
)

const (
	// gatheringInterval is the time after which a host reports again to a divider that not all hosts have followed for long, and
	// gatheringTime the time for which that may be because they are coming.
	gatheringInterval = time.Second
	gatheringTime     = 10 * time.Second
)

// Divider leases the slots of accounts to hosts. It is safe for concurrent use.
type Divider struct {
	bounds Bounds

	mu     sync.Mutex
	groups map[int]*group
}

// NewDivider returns a divider that knows no hosts.
func NewDivider(bounds Bounds) *Divider {
	return &Divider{
		bounds: bounds,
		groups: make(map[int]*group),
	}
}

// Divide handles a report at a time, for the accounts of its group, in a fleet of that many hosts. The witness is a host that is known
// to follow this divider at present, or empty. ok is false if a later report of the same host has overtaken this one.
func (d *Divider) Divide(r Report, accounts []topo.Account, hosts int, witness string, now time.Time) (reply Reply, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	g, known := d.groups[r.Group]
	if !known {
		g = newGroup(d.bounds.Window)
		d.groups[r.Group] = g
	}
	g.expire(now)
	if !r.TokensOnly {
		if !g.record(r, witness, now) {
			return Reply{}, false
		}
	}
	gathering := !g.settle(hosts, now) && now.Sub(g.changedAt) < gatheringTime
	if gathering && !r.TokensOnly {
		reply.Again = gatheringInterval
	}
	followers := g.followerCount(now)
	for _, account := range accounts {
		if r.TokensOnly && r.wanted(account.Name) == 0 {
			continue
		}
		q := quantities{
			ledger: g.ledger(account.Name),
			slots:  d.bounds.Slots(account),
		}
		reserve := d.bounds.reserve(account)
		q.hot = q.ledger.hot(q.slots-reserve, hosts, followers)
		q.authority = g.authority(q, reserve, hosts, now)
		q.spare = q.ledger.spare(q.authority, followers, q.hot, d.bounds.Window, now)
		target := q.ledger.target(account.Name, r.Host, q.authority-q.spare, followers)
		lease := Lease{
			Account: account.Name,
			Of:      q.slots,
		}
		if r.TokensOnly {
			d.addTokens(&lease, q, r, hosts, now)
			if q.ledger.lacks(r.Host, target, q.authority) {
				reply.Again = gatheringInterval
			}
		} else {
			lease.Slots = q.ledger.lease(account.Name, r.Host, target, q.spare, q.authority, gathering)
		}
		reply.Leases = append(reply.Leases, lease)
	}
	return reply, true
}

// quantities are what decides about one account: its ledger and slots, how many of them the divider may lease and keeps for tokens,
// and whether more comes than the account may have.
type quantities struct {
	ledger    *ledger
	slots     int
	authority int
	spare     int
	hot       bool
}

// addTokens adds the tokens that a report asks for to a lease, or the time after which they are likely if the account is hot.
// Where the account is hot, tokens leave what is not spare to the leases, which cost no messages.
func (d *Divider) addTokens(lease *Lease, q quantities, r Report, hosts int, now time.Time) {
	free := q.authority - q.ledger.outstanding()
	if q.hot {
		free = min(free, q.spare-q.ledger.locked())
	}
	lease.Tokens = q.ledger.takeTokens(r.wanted(lease.Account), free, d.bounds.Window, now)
	if lease.Tokens == 0 && q.hot {
		lease.RetryAfter = renewal(hosts) / 2
	}
}
