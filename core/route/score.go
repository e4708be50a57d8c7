package route

import (
	"sync"
	"time"

	"magnoliaworks/core/query"
)

const (
	// slowerWeight and fasterWeight are the weights of a new observation above and below the smoothed factor.
	// A server that is fast again is seldom tried, so few observations must do.
	slowerWeight = 0.35
	fasterWeight = 0.5
	// clipFactor bounds one observation, so that a single pause does not make a server look slow.
	clipFactor = 6
	// lostFactor multiplies the factor of a server that lost against a hedge.
	lostFactor = 1.5
	// maxFactor bounds the factor of a server.
	maxFactor = 500
	// errorWeight is the weight of one result in the share of failed calls.
	errorWeight = 0.3
	// errorFactor and errorTime are what a failed call costs beside its time, as a multiple of that and as the time to repeat it.
	// With them two failures among a few calls make a far server worth its way, and a single one does not.
	errorFactor = 5
	errorTime   = 40 * time.Millisecond
	// ejectAfter is the number of failures in a row after which a server is not chosen.
	ejectAfter = 3
	// ejectTime is the time before an ejected server is tried again.
	ejectTime = 2 * time.Second
	// avoidTime is the time during which a server that refused work is passed over.
	avoidTime = 200 * time.Millisecond
	// mirrorPeriod is the time between two trials of a server that is passed over for its slowness.
	mirrorPeriod = 2 * time.Second
	// hintTrust is the time during which a reported wait or load counts.
	hintTrust = 300 * time.Millisecond
	// stallFactor is the multiple of the expected time, and stallMinimum the least time, without any reply
	// after which a server with requests in progress counts as stalled.
	stallFactor  = 4
	stallMinimum = 25 * time.Millisecond
)

// score is what a host has observed of one backend server.
type score struct {
	mu sync.Mutex
	// factor is the smoothed ratio of the server's times to the usual ones of each kind; 0 while unknown.
	factor      float64
	outstanding int
	failures    int
	// errors is the smoothed share of calls that failed.
	errors      float64
	hint        query.Feedback
	hintAt      time.Time
	lastTrial   time.Time
	passedUntil time.Time
	// quietSince is the time of the last reply, or of the first request in progress after an idle time.
	quietSince time.Time
	// expected is the longest expected time of a request in progress.
	expected time.Duration
}

// begin records that a request of a kind that usually takes the given time goes to the server.
func (s *score) begin(usual time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outstanding == 0 {
		s.quietSince, s.expected = now, 0
	}
	s.expected = max(s.expected, s.scaled(usual))
	s.outstanding++
	s.lastTrial = now
}

// done records a reply that took the given time, where the kind usually takes usual.
func (s *score) done(took, usual time.Duration, hint query.Feedback, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(now)
	s.failures = 0
	s.errors -= errorWeight * s.errors
	s.hint, s.hintAt = hint, now
	ratio := min(float64(took)/float64(max(usual, time.Microsecond)), clipFactor)
	switch {
	case s.factor == 0:
		s.factor = ratio
	case ratio < s.factor:
		s.factor += fasterWeight * (ratio - s.factor)
	default:
		s.factor += slowerWeight * (ratio - s.factor)
	}
}

// slow records a request that another server answered first after the given time.
// The true time is not known but longer, so the factor grows until the server is passed over.
func (s *score) slow(took, usual time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ratio := float64(took) / float64(max(usual, time.Microsecond))
	s.factor = min(lostFactor*max(ratio, s.factor), maxFactor)
}

// refused records a refusal and passes the server over for a moment.
func (s *score) refused(hint query.Feedback, avoid time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(now)
	s.hint, s.hintAt = hint, now
	s.passedUntil = now.Add(avoid)
}

// failed records a failure and reports whether it ejects the server.
func (s *score) failed(now time.Time) (ejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(now)
	s.failures++
	s.errors += errorWeight * (1 - s.errors)
	if s.failures < ejectAfter {
		return false
	}
	ejected = now.After(s.passedUntil)
	s.passedUntil = now.Add(ejectTime)
	return ejected
}

// cancelled records a request whose result was not wanted any more.
func (s *score) cancelled() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outstanding--
}

func (s *score) end(now time.Time) {
	s.outstanding--
	s.quietSince = now
}

// estimate returns the expected time to a reply; unknown servers have 0 and are tried first.
func (s *score) estimate(usual time.Duration, slots int, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.factor == 0 && s.failures == 0 {
		return 0
	}
	expected := s.scaled(usual)
	ahead := s.outstanding
	if now.Sub(s.hintAt) < hintTrust {
		expected += s.hint.QueueWait
		ahead = max(ahead, s.hint.Load.Running+s.hint.Load.Waiting)
	}
	if slots > 0 {
		expected += time.Duration(max(ahead+1-slots, 0)) * s.scaled(usual) / time.Duration(slots)
	}
	return expected + time.Duration(s.errors*(errorFactor*float64(expected)+float64(errorTime)))
}

func (s *score) scaled(usual time.Duration) time.Duration {
	if s.factor == 0 {
		return usual
	}
	return time.Duration(s.factor * float64(usual))
}

func (s *score) passedOver(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.passedUntil) || s.stalled(now)
}

// stalled reports whether requests are in progress and no reply has come for much longer than expected.
func (s *score) stalled(now time.Time) bool {
	return s.outstanding > 0 && now.Sub(s.quietSince) > max(stallFactor*s.expected, stallMinimum)
}

func (s *score) trialDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastTrial) > mirrorPeriod
}
