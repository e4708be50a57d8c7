package magnoliaworks

import (
	"sync"
	"time"

	"magnoliaworks/core/member"
)

const (
	// unknownSharers is the number of hosts assumed while a host has not yet heard of the others: with more hosts than
	// connections, each opens one connection to a near server.
	unknownSharers = 128
	// meetTime is the time after its start in which a host hears of the others.
	meetTime = 4 * time.Second
	// calmTime is the time without a change of the view after which a starting host knows enough of the others,
	// and greetTime the time after which it no longer waits for that.
	calmTime  = 700 * time.Millisecond
	greetTime = 3 * time.Second
	// watchersPerDataCentre is the number of hosts of a data centre that watch the store for all of it.
	watchersPerDataCentre = 2
)

// sharers counts the hosts that share the bounds of the fleet.
type sharers struct {
	table   *member.Table
	started time.Time

	mu sync.Mutex
	// digest is that of the view when it was last looked at, and digestAt the time of its last change.
	digest   uint64
	digestAt time.Time
}

func newSharers(table *member.Table) *sharers {
	return &sharers{
		table:   table,
		started: time.Now(),
	}
}

// HostCount implements relay.Membership. Unreachable hosts count, since they may still work.
// Early on, hosts that have not been heard of yet are allowed for.
func (s *sharers) HostCount() int {
	n := 0
	for _, m := range s.table.View().Members() {
		if m.State != member.Left {
			n++
		}
	}
	switch {
	case !s.Settled():
		return max(n, unknownSharers)
	case time.Since(s.started) < meetTime:
		return n + n/2
	default:
		return max(n, 1)
	}
}

// Available implements relay.Membership.
func (s *sharers) Available() []member.Member { return s.table.View().Available() }

// Watchers implements watch.Membership.
func (s *sharers) Watchers() (others []member.Member, self bool) {
	me := s.table.Self()
	var near []member.Member
	for _, m := range s.table.View().Available() {
		if m.DataCentre == me.DataCentre {
			near = append(near, m)
		}
	}
	for _, m := range member.Rank(near, "store/"+me.DataCentre, watchersPerDataCentre) {
		if m.ID == me.ID {
			self = true
			continue
		}
		others = append(others, m)
	}
	return others, self || len(others) == 0
}

// Settled implements watch.Membership.
func (s *sharers) Settled() bool {
	if time.Since(s.started) > greetTime {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.table.View()
	if digest := view.Digest(); digest != s.digest {
		s.digest, s.digestAt = digest, time.Now()
	}
	return len(view.Members()) > 1 && time.Since(s.digestAt) > calmTime
}

// IsTopRanked implements relay.Membership.
func (s *sharers) IsTopRanked(key string, n int) bool {
	self := s.table.Self().ID
	for _, m := range member.Rank(s.table.View().Available(), key, n) {
		if m.ID == self {
			return true
		}
	}
	return false
}
