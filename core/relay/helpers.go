package relay

import (
	"sync"
	"time"

	"magnoliaworks/core/limit"
	"magnoliaworks/core/member"
)

const (
	// helperChoices is the number of hosts among which a host looks for one to gather for it; few keep connections few.
	helperChoices = 3
	// helperPassed is the time for which a host that did not answer is passed over; it doubles with each time in a row up to
	// longestPassed, since it may take a large fleet half a minute to learn that all hosts of a data centre are gone.
	helperPassed  = 2 * time.Second
	longestPassed = time.Minute
	// firstHop is the time that a message and its answer are taken to spend between two data centres before any was measured:
	// both ways of the users' sites and a part for the hosts.
	firstHop = 10 * time.Millisecond
	// hopQuantile is the part of the measured times that the allowance for them covers.
	hopQuantile = 0.9
	// longestHop bounds one measured time, since a host that stood still says nothing about the way.
	longestHop = 50 * time.Millisecond
)

// helpers chooses the hosts of other data centres that gather for this one. It is safe for concurrent use.
type helpers struct {
	self string
	hops *limit.Quantile

	mu sync.Mutex
	// passed holds the hosts that did not answer the last time.
	passed map[string]passing
}

// passing is the time until which a host is passed over, and the length of that.
type passing struct {
	until time.Time
	span  time.Duration
}

func newHelpers(self string) *helpers {
	return &helpers{
		self:   self,
		hops:   limit.NewQuantile(hopQuantile, firstHop),
		passed: make(map[string]passing),
	}
}

// choose returns the host ranked first for this one that answered lately, among those in the data centres that fit.
func (h *helpers) choose(hosts []member.Member, now time.Time, fits func(dataCentre string) bool) (member.Member, bool) {
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
	for _, m := range member.Rank(candidates, "gather/"+h.self, helperChoices) {
		if now.After(h.passed[m.ID].until) {
			return m, true
		}
	}
	return member.Member{}, false
}

// failed passes a host over for a while, longer each time in a row.
func (h *helpers) failed(host string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, p := range h.passed {
		if now.Sub(p.until) > longestPassed {
			delete(h.passed, id)
		}
	}
	span := min(max(2*h.passed[host].span, helperPassed), longestPassed)
	h.passed[host] = passing{
		until: now.Add(span),
		span:  span,
	}
}

// answered ends the passing over of a host.
func (h *helpers) answered(host string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.passed, host)
}

// hop returns the time to allow for the way of a message to another data centre and of its answer back.
func (h *helpers) hop() time.Duration { return h.hops.Value() }

// travelled takes in the time that a message and its answer have spent on their way.
func (h *helpers) travelled(took time.Duration) { h.hops.Observe(min(max(took, 0), longestHop)) }
