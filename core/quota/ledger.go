package quota

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// A host needs needFactor times its demand, as that changes, and needDeviations standard deviations more, as requests come by
	// chance.
	needFactor     = 1.5
	needDeviations = 2
	// The spare slots, which are kept for tokens, are spareFactor times the tokens that hosts ask for while one is locked, plus
	// minSpare. They are maxSpareShare of the authority at most, and less the more slots there are for each host. Where more comes
	// than the account may have, most of it is asked for in vain, and hotSpareShare is the most.
	spareFactor   = 1.5
	minSpare      = 4
	maxSpareShare = 0.35
	hotSpareShare = 0.2
	// hotShare is the share of an account's slots from which on it counts as hot if so many requests come.
	hotShare = 0.85
	// While enough is spare, a lease is lowered only if it is more than one slot and one steadyPart-th above its target, so that
	// small changes move nothing.
	steadyPart = 8
)

// ledger is what the divider of an account knows of its slots.
type ledger struct {
	holds map[string]hold
	locks []lock
	// wanted is the number of tokens that were asked for, each counting less with its age, as of wantedAt.
	wanted   float64
	wantedAt time.Time
}

// hold is what one host holds.
type hold struct {
	slots int
	until time.Time
	// carried is the number of slots that the host held when it came to this divider.
	carried int
	latest  float64
	demand  float64
	// followed is set while the host follows the divider.
	followed bool
}

// lock is a number of slots that nobody may hold until a time, since requests may have used them within the last window.
type lock struct {
	slots int
	until time.Time
	// moved is set for slots that another divider may have leased.
	moved bool
}

func newLedger() *ledger {
	return &ledger{
		holds: make(map[string]hold),
	}
}

// lockSlots locks a number of slots until a time.
func (l *ledger) lockSlots(slots int, until time.Time) {
	if slots > 0 {
		l.locks = append(l.locks, lock{
			slots: slots,
			until: until,
		})
	}
}

// release locks all that a host holds until a time, and forgets the host.
func (l *ledger) release(host string, until time.Time) {
	l.lockSlots(l.holds[host].slots, until)
	delete(l.holds, host)
}

// expire drops the locks that have ended, and locks the leases that have ended for a window.
func (l *ledger) expire(now time.Time, window time.Duration) {
	for host, h := range l.holds {
		if now.After(h.until) {
			l.release(host, h.until.Add(window))
		}
	}
	kept := l.locks[:0]
	for _, k := range l.locks {
		if now.Before(k.until) {
			kept = append(kept, k)
		}
	}
	l.locks = kept
}

// dropMoved drops the locks of slots that another divider may have leased.
func (l *ledger) dropMoved() {
	l.locks = slices.DeleteFunc(l.locks, func(k lock) bool { return k.moved })
}

// outstanding returns the number of slots that are held or locked.
func (l *ledger) outstanding() int {
	n := 0
	for _, h := range l.holds {
		n += h.slots
	}
	return n + l.locked()
}

// followed returns the number of slots that the divider's followers hold.
func (l *ledger) followed() int {
	n := 0
	for _, h := range l.holds {
		if h.followed {
			n += h.slots
		}
	}
	return n
}

// locked returns the number of slots that are locked.
func (l *ledger) locked() int {
	n := 0
	for _, k := range l.locks {
		n += k.slots
	}
	return n
}

// hot reports whether about as many requests come as a number of slots permits, by what is known of the followers among all hosts.
func (l *ledger) hot(slots, hosts, followers int) bool {
	share := float64(max(followers, 1)) / float64(max(hosts, 1))
	return l.latest() > hotShare*float64(slots)*min(share, 1)
}

// latest returns the requests that came in a window at the hosts that follow the divider when they last counted them.
func (l *ledger) latest() float64 {
	sum := 0.0
	for _, h := range l.holds {
		if h.followed {
			sum += h.latest
		}
	}
	return sum
}

// recentlyWanted returns the number of tokens asked for in the time for which one is locked, smoothed.
func (l *ledger) recentlyWanted(window time.Duration, now time.Time) float64 {
	return l.wanted * math.Exp(-now.Sub(l.wantedAt).Seconds()/(tokenValidity+window).Seconds())
}

// spare returns the number of slots to keep for tokens, of an authority over that many, among a number of followers.
func (l *ledger) spare(authority, followers int, hot bool, window time.Duration, now time.Time) int {
	share := min(float64(followers)/float64(max(followers+authority, 1)), maxSpareShare)
	if hot {
		share = min(share, hotSpareShare)
	}
	return int(min(minSpare+spareFactor*l.recentlyWanted(window, now), share*float64(authority)))
}

// need returns the number of slots that a host with a demand needs in advance.
func need(demand float64) float64 { return needFactor*demand + needDeviations*math.Sqrt(demand) }

// target returns the number of slots that a host is to hold if hosts hold leased in all, among a number of followers. What hosts
// need is leased in proportion, and the rest in equal parts. The fraction of a slot goes to a part of the hosts, by a hash.
func (l *ledger) target(account, host string, leased, followers int) int {
	total := 0.0
	for _, h := range l.holds {
		if h.followed {
			total += need(h.demand)
		}
	}
	target := need(l.holds[host].demand)
	if total > float64(leased) {
		target *= float64(leased) / total
	} else {
		target += (float64(leased) - total) / float64(max(followers, 1))
	}
	return rounded(target, account, host)
}

// rounded returns a number of slots that is whole: the next larger one for a part of the hosts that equals the fraction, by a hash.
func rounded(slots float64, account, host string) int {
	const hashes = 1 << 20
	whole := math.Floor(slots)
	if float64(xxhash.Sum64String(account+"\x00"+host)%hashes) < (slots-whole)*hashes {
		whole++
	}
	return int(whole)
}

// lease renews what a host holds towards its target, and lowers it where fewer slots than spare are left of the authority. Where slots are
// outstanding beyond the authority, since other hosts have gone, or gathering is set as not all hosts have come, a lease is lowered
// only as far as the followers hold more than the authority themselves.
func (l *ledger) lease(account, host string, target, spare, authority int, gathering bool) int {
	h := l.holds[host]
	slots := h.slots
	free, followed := authority-l.outstanding(), l.followed()
	switch {
	case target > slots:
		slots += max(min(target-slots, free), 0)
	case gathering || free < 0:
		if followed > authority {
			slots = rounded(float64(slots*authority)/float64(followed), account, host)
		}
	case free < spare || slots-target > 1+slots/steadyPart:
		slots = target
	}
	h.slots = max(h.slots, slots)
	l.holds[host] = h
	return slots
}

// lacks reports whether a host that asks for tokens holds much less than its target, and may have more.
func (l *ledger) lacks(host string, target, authority int) bool {
	slots := l.holds[host].slots
	return target > slots+slots/steadyPart && authority > l.outstanding()
}

// takeTokens locks slots for up to wanted tokens, of the free ones, and returns their number.
func (l *ledger) takeTokens(wanted, free int, window time.Duration, now time.Time) int {
	l.wanted, l.wantedAt = l.recentlyWanted(window, now)+float64(wanted), now
	n := max(min(wanted, free), 0)
	l.lockSlots(n, now.Add(tokenValidity+window))
	return n
}
