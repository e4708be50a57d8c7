package relay

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliaworks/core/limit"
	"magnoliaworks/core/member"
)

const (
	// delegateCandidates is the number of hosts among which a host chooses the one that gathers for it;
	// a small number keeps connections few.
	delegateCandidates = 3
	// minDelegateBackoff is the time for which a host that did not answer is avoided. It doubles with each failure in a row up to
	// maxDelegateBackoff, since a large fleet may need half a minute to learn that all hosts of a data centre are gone.
	minDelegateBackoff = 2 * time.Second
	maxDelegateBackoff = time.Minute
	// initialRoundTrip is the round trip assumed between two data centres before any was measured: the network latency both ways
	// between the users' data centres, and some time on the hosts.
	initialRoundTrip = 10 * time.Millisecond
	// roundTripQuantile is the quantile of the measured round trips that is allowed for the next one.
	roundTripQuantile = 0.9
	// maxRoundTrip bounds a measured round trip, since that of a host that was paused says nothing about the network.
	maxRoundTrip = 50 * time.Millisecond
)

// delegates chooses the hosts of other data centres that gather for this one. It is safe for concurrent use.
type delegates struct {
	self       string
	roundTrips *limit.Quantile

	mu sync.Mutex
	// backoffs holds the backoffs of the hosts that failed or were overdue the last time, by host ID.
	backoffs map[string]hostBackoff
}

// hostBackoff is the time until which a host is avoided, and the length of that backoff.
type hostBackoff struct {
	until time.Time
	delay time.Duration
}

func newDelegates(self string) *delegates {
	return &delegates{
		self:       self,
		roundTrips: limit.NewQuantile(roundTripQuantile, initialRoundTrip),
		backoffs:   make(map[string]hostBackoff),
	}
}

// choose returns a host of each data centre other than own: the first that is not in backoff among the delegateCandidates
// hosts that rank first for this one. Data centres of which these hosts are all in backoff are left out, even if hosts of
// lower rank are available. The order of the data centres differs from host to host, so that equal ones share the work.
func (d *delegates) choose(hosts []member.Member, own string, now time.Time) []member.Member {
	byDataCentre := make(map[string][]member.Member)
	for _, m := range hosts {
		if m.DataCentre != own {
			byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var chosen []member.Member
	for _, candidates := range byDataCentre {
		for _, m := range member.Rank(candidates, "gather/"+d.self, delegateCandidates) {
			if now.After(d.backoffs[m.ID].until) {
				chosen = append(chosen, m)
				break
			}
		}
	}
	slices.SortFunc(chosen, func(a, b member.Member) int {
		return cmp.Compare(xxhash.Sum64String(d.self+"/"+a.DataCentre), xxhash.Sum64String(d.self+"/"+b.DataCentre))
	})
	return chosen
}

// recordFailure puts a host into backoff, for longer with each failure in a row. A failure counts as the first
// if the last backoff ended more than maxDelegateBackoff ago.
func (d *delegates) recordFailure(host string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, b := range d.backoffs {
		if now.Sub(b.until) > maxDelegateBackoff {
			delete(d.backoffs, id)
		}
	}
	delay := min(max(2*d.backoffs[host].delay, minDelegateBackoff), maxDelegateBackoff)
	d.backoffs[host] = hostBackoff{
		until: now.Add(delay),
		delay: delay,
	}
}

// recordSuccess ends the backoff of a host.
func (d *delegates) recordSuccess(host string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.backoffs, host)
}

// roundTrip returns the time to allow for a message to another data centre and its answer back.
func (d *delegates) roundTrip() time.Duration { return d.roundTrips.Value() }

// observeRoundTrip records the time that a message and its answer spent on the network.
func (d *delegates) observeRoundTrip(took time.Duration) {
	d.roundTrips.Observe(min(max(took, 0), maxRoundTrip))
}
