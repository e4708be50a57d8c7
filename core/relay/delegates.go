package relay

import (
	"sync"
	"time"

	"magnoliaworks/core/limit"
	"magnoliaworks/core/member"
)

const (
	// delegateCandidates is the number of hosts among which a host looks for one to gather for it; few keep connections few.
	delegateCandidates = 3
	// minDelegateBackoff is the time for which a host that did not answer is passed over; it doubles with each time in a row up to
	// longestPassed, since it may take a large fleet half a minute to learn that all hosts of a data centre are gone.
	minDelegateBackoff = 2 * time.Second
	maxDelegateBackoff = time.Minute
	// initialRoundTrip is the time that a message and its answer are taken to spend between two data centres before any was measured:
	// both ways of the users' sites and a part for the hosts.
	initialRoundTrip = 10 * time.Millisecond
	// roundTripQuantile is the part of the measured times that the allowance for them covers.
	roundTripQuantile = 0.9
	// maxRoundTrip bounds one measured time, since a host that stood still says nothing about the way.
	maxRoundTrip = 50 * time.Millisecond
)

// delegates chooses the hosts of other data centres that gather for this one. It is safe for concurrent use.
type delegates struct {
	self       string
	roundTrips *limit.Quantile

	mu sync.Mutex
	// backoffs holds the hosts that did not answer the last time.
	backoffs map[string]hostBackoff
}

// hostBackoff is the time until which a host is passed over, and the length of that.
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

// choose returns the host ranked first for this one that answered lately, among those in the data centres that fit.
func (h *delegates) choose(hosts []member.Member, now time.Time, fits func(dataCentre string) bool) (member.Member, bool) {
	fit := make(map[string]bool)
	candidates := make([]member.Member, 0, len(hosts))
	for _, m := range hosts {
		ok, known := fit[m.DataCentre]
		if !known {
			ok = fits(m.DataCentre)
			fit[m.DataCentre] = ok
		}
		if ok {
			candidates = append(candidates, m)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range member.Rank(candidates, "gather/"+h.self, delegateCandidates) {
		if now.After(h.backoffs[m.ID].until) {
			return m, true
		}
	}
	return member.Member{}, false
}

// recordFailure passes a host over for a while, longer each time in a row.
func (h *delegates) recordFailure(host string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, p := range h.backoffs {
		if now.Sub(p.until) > maxDelegateBackoff {
			delete(h.backoffs, id)
		}
	}
	delay := min(max(2*h.backoffs[host].delay, minDelegateBackoff), maxDelegateBackoff)
	h.backoffs[host] = hostBackoff{
		until: now.Add(delay),
		delay: delay,
	}
}

// recordSuccess ends the passing over of a host.
func (h *delegates) recordSuccess(host string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.backoffs, host)
}

// roundTrip returns the time to allow for the way of a message to another data centre and of its answer back.
func (h *delegates) roundTrip() time.Duration { return h.roundTrips.Value() }

// observeRoundTrip takes in the time that a message and its answer have spent on their way.
func (h *delegates) observeRoundTrip(took time.Duration) {
	h.roundTrips.Observe(min(max(took, 0), maxRoundTrip))
}
