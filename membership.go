package magnoliaworks

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"magnoliaworks/core/member"
	"magnoliaworks/core/watch"
)

const (
	// initialHostCount is the least number of hosts assumed until the view has settled. Where it exceeds the connections
	// that a server accepts, each host opens only one connection to a local server.
	initialHostCount = 128
	// discoveryTime is the time after its start within which a host is expected to learn of the others.
	discoveryTime = 4 * time.Second
	// settleTime is how long the view of a starting host that knows another host must stay unchanged to count as settled,
	// and settleTimeout the time after the start at which it counts as settled in any case.
	settleTime    = 700 * time.Millisecond
	settleTimeout = 3 * time.Second
	// watchersPerDataCentre is the number of hosts of a data centre that watch the store on behalf of all of them, and
	// substitutesPerDataCentre the number of those that do so while no watcher answers.
	watchersPerDataCentre    = 2
	substitutesPerDataCentre = 2
)

// membership counts the hosts that share the bounds of the fleet, and ranks them to share out work.
type membership struct {
	table   *member.Table
	started time.Time
	// peers returns the addresses of other hosts in the settings. assumedHosts is the number of hosts that is assumed while
	// there are such peers and none of them has answered; met is set once another host has been known.
	peers        func() []string
	assumedHosts int
	met          atomic.Bool

	mu sync.Mutex
	// viewDigest is the digest of the view when last checked, and viewChangedAt the time when it last differed.
	viewDigest    uint64
	viewChangedAt time.Time
}

func newMembership(table *member.Table, peers func() []string, assumedHosts int) *membership {
	return &membership{
		table:        table,
		started:      time.Now(),
		peers:        peers,
		assumedHosts: assumedHosts,
	}
}

// HostCount implements relay.Membership. Unreachable hosts count, since they may still work.
// Until the view has settled the count is at least initialHostCount, and up to discoveryTime it includes an allowance
// for hosts that are not known yet. A host that has reached none of its peers does not know the size of its fleet.
func (ms *membership) HostCount() int {
	n := ms.Size()
	if ms.Settled() && !ms.isolated() && time.Since(ms.started) < discoveryTime {
		return n + n/2
	}
	return n
}

// Size implements quota.Membership. Hosts of which nothing is heard count, since they may hold leases.
func (ms *membership) Size() int {
	n := 0
	for _, m := range ms.table.View().Members() {
		if m.State != member.Left {
			n++
		}
	}
	switch {
	case !ms.Settled():
		return max(n, initialHostCount)
	case ms.isolated():
		return max(n, ms.assumedHosts)
	default:
		return max(n, 1)
	}
}

// isolated reports whether this host has peers and has known no other host since its start.
func (ms *membership) isolated() bool {
	if !ms.met.Load() && len(ms.table.View().Members()) > 1 {
		ms.met.Store(true)
	}
	return !ms.met.Load() && len(ms.peers()) > 0
}

// Alone reports whether no other host is known, not even an unreachable one.
func (ms *membership) Alone() bool { return len(ms.table.View().Members()) < 2 }

// Knows reports whether a host is known and takes work.
func (ms *membership) Knows(id string) bool {
	return slices.ContainsFunc(ms.table.View().Available(), func(m member.Member) bool { return m.ID == id })
}

// Available implements relay.Membership.
func (ms *membership) Available() []member.Member { return ms.table.View().Available() }

// Others implements watch.Membership.
func (ms *membership) Others() []member.Member {
	self := ms.table.Self().ID
	return slices.DeleteFunc(ms.table.View().Available(), func(m member.Member) bool { return m.ID == self })
}

// Watchers implements watch.Membership.
func (ms *membership) Watchers() (others []member.Member, role watch.Role) {
	me := ms.table.Self()
	var local []member.Member
	for _, m := range ms.table.View().Available() {
		if m.DataCentre == me.DataCentre {
			local = append(local, m)
		}
	}
	for rank, m := range member.Rank(local, "store/"+me.DataCentre, watchersPerDataCentre+substitutesPerDataCentre) {
		switch {
		case m.ID != me.ID:
			others = append(others, m)
		case rank < watchersPerDataCentre:
			role = watch.RoleWatcher
		default:
			role = watch.RoleSubstitute
		}
	}
	if len(others) == 0 {
		role = watch.RoleWatcher
	}
	return others, role
}

// StoreChecker implements watch.Membership. The host is the first watcher of one data centre.
func (ms *membership) StoreChecker() (checker member.Member, ok bool) {
	available := ms.table.View().Available()
	top := member.Rank(available, "store", 1)
	if len(top) == 0 {
		return member.Member{}, false
	}
	local := slices.DeleteFunc(available, func(m member.Member) bool { return m.DataCentre != top[0].DataCentre })
	return member.Rank(local, "store/"+top[0].DataCentre, 1)[0], true
}

// ChecksStore implements watch.Membership.
func (ms *membership) ChecksStore() bool {
	checker, ok := ms.StoreChecker()
	return ok && checker.ID == ms.table.Self().ID
}

// FleetWatchers implements watch.Membership.
func (ms *membership) FleetWatchers() []member.Member {
	byDataCentre := make(map[string][]member.Member)
	for _, m := range ms.table.View().Available() {
		byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m)
	}
	self := ms.table.Self().ID
	var others []member.Member
	for dataCentre, hosts := range byDataCentre {
		for _, m := range member.Rank(hosts, "store/"+dataCentre, watchersPerDataCentre) {
			if m.ID != self {
				others = append(others, m)
			}
		}
	}
	return others
}

// Settled implements watch.Membership.
func (ms *membership) Settled() bool {
	if time.Since(ms.started) > settleTimeout {
		return true
	}
	ms.mu.Lock()
	defer ms.mu.Unlock()
	view := ms.table.View()
	if digest := view.Digest(); digest != ms.viewDigest {
		ms.viewDigest, ms.viewChangedAt = digest, time.Now()
	}
	return len(view.Members()) > 1 && time.Since(ms.viewChangedAt) > settleTime
}

// IsTopRanked implements relay.Membership. An isolated host does not know its rank.
func (ms *membership) IsTopRanked(key string, n int) bool {
	if ms.isolated() {
		return false
	}
	self := ms.table.Self().ID
	for _, m := range member.Rank(ms.table.View().Available(), key, n) {
		if m.ID == self {
			return true
		}
	}
	return false
}
