package route

import (
	"sync"
	"time"

	"magnoliaworks/core/query"
)

const (
	// increaseWeight and fasterWeight are the weights of a new observation above and below the smoothed factor.
	// A server that is fast again is seldom tried, so few observations must do.
	increaseWeight = 0.35
	decreaseWeight = 0.5
	// maxObservedFactor bounds one observation, so that a single pause does not make a server look slow.
	maxObservedFactor = 6
	// hedgeLostFactor multiplies the factor of a server that lost against a hedge.
	hedgeLostFactor = 1.5
	// maxLatencyFactor bounds the factor of a server.
	maxLatencyFactor = 500
	// errorRateWeight is the weight of one result in the share of failed calls.
	errorRateWeight = 0.3
	// errorPenaltyFactor and errorTime are what a failed call costs beside its time, as a multiple of that and as the time to repeat it.
	// With them two failures among a few calls make a far server worth its way, and a single one does not.
	errorPenaltyFactor = 5
	errorPenaltyTime   = 40 * time.Millisecond
	// ejectionThreshold is the number of failures in a row after which a server is not chosen.
	ejectionThreshold = 3
	// ejectionTime is the time before an ejected server is tried again.
	ejectionTime = 2 * time.Second
	// avoidTime is the time during which a server that refused work is passed over.
	avoidTime = 200 * time.Millisecond
	// mirrorPeriod is the time between two trials of a server that is passed over for its slowness.
	mirrorPeriod = 2 * time.Second
	// feedbackValidity is the time during which a reported wait or load counts.
	feedbackValidity = 300 * time.Millisecond
	// stallFactor is the multiple of the expected time, and stallMinimum the least time, without any reply
	// after which a server with requests in progress counts as stalled.
	stallFactor  = 4
	minStallTime = 25 * time.Millisecond
)

// serverStats is what a host has observed of one backend server.
type serverStats struct {
	mu sync.Mutex
	// latencyFactor is the smoothed ratio of the server's times to the usual ones of each kind; 0 while unknown.
	latencyFactor       float64
	outstanding         int
	consecutiveFailures int
	// errorRate is the smoothed share of calls that failed.
	errorRate  float64
	feedback   query.Feedback
	feedbackAt time.Time
	lastSent   time.Time
	avoidUntil time.Time
	// silentSince is the time of the last reply, or of the first request in progress after an idle time.
	silentSince time.Time
	// longestExpected is the longest longestExpected time of a request in progress.
	longestExpected time.Duration
}

// started records that a request of a kind that usually takes the given time goes to the server.
func (s *serverStats) started(median time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outstanding == 0 {
		s.silentSince, s.longestExpected = now, 0
	}
	s.longestExpected = max(s.longestExpected, s.typicalLatency(median))
	s.outstanding++
	s.lastSent = now
}

// succeeded records a reply that took the given time, where the kind usually takes usual.
func (s *serverStats) succeeded(took, median time.Duration, feedback query.Feedback, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished(now)
	s.consecutiveFailures = 0
	s.errorRate -= errorRateWeight * s.errorRate
	s.feedback, s.feedbackAt = feedback, now
	ratio := min(float64(took)/float64(max(median, time.Microsecond)), maxObservedFactor)
	switch {
	case s.latencyFactor == 0:
		s.latencyFactor = ratio
	case ratio < s.latencyFactor:
		s.latencyFactor += decreaseWeight * (ratio - s.latencyFactor)
	default:
		s.latencyFactor += increaseWeight * (ratio - s.latencyFactor)
	}
}

// hedgeLost records a request that another server answered first after the given time.
// The true time is not known but longer, so the factor grows until the server is passed over.
func (s *serverStats) hedgeLost(took, median time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ratio := float64(took) / float64(max(median, time.Microsecond))
	s.latencyFactor = min(hedgeLostFactor*max(ratio, s.latencyFactor), maxLatencyFactor)
}

// refused records a refusal and passes the server over for a moment.
func (s *serverStats) refused(feedback query.Feedback, avoid time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished(now)
	s.feedback, s.feedbackAt = feedback, now
	s.avoidUntil = now.Add(avoid)
}

// failed records a failure and reports whether it ejects the server.
func (s *serverStats) failed(now time.Time) (ejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished(now)
	s.consecutiveFailures++
	s.errorRate += errorRateWeight * (1 - s.errorRate)
	if s.consecutiveFailures < ejectionThreshold {
		return false
	}
	ejected = now.After(s.avoidUntil)
	s.avoidUntil = now.Add(ejectionTime)
	return ejected
}

// cancelled records a request whose result was not wanted any more.
func (s *serverStats) cancelled() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outstanding--
}

func (s *serverStats) finished(now time.Time) {
	s.outstanding--
	s.silentSince = now
}

// estimate returns the expected time to a reply; unknown servers have 0 and are tried first.
func (s *serverStats) estimate(median time.Duration, slots int, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latencyFactor == 0 && s.consecutiveFailures == 0 {
		return 0
	}
	expected := s.typicalLatency(median)
	ahead := s.outstanding
	if now.Sub(s.feedbackAt) < feedbackValidity {
		expected += s.feedback.QueueWait
		ahead = max(ahead, s.feedback.Load.Running+s.feedback.Load.Waiting)
	}
	if slots > 0 {
		expected += time.Duration(max(ahead+1-slots, 0)) * s.typicalLatency(median) / time.Duration(slots)
	}
	return expected + time.Duration(s.errorRate*(errorPenaltyFactor*float64(expected)+float64(errorPenaltyTime)))
}

func (s *serverStats) typicalLatency(median time.Duration) time.Duration {
	if s.latencyFactor == 0 {
		return median
	}
	return time.Duration(s.latencyFactor * float64(median))
}

func (s *serverStats) avoided(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.avoidUntil) || s.stalled(now)
}

// stalled reports whether requests are in progress and no reply has come for much longer than expected.
func (s *serverStats) stalled(now time.Time) bool {
	return s.outstanding > 0 && now.Sub(s.silentSince) > max(stallFactor*s.longestExpected, minStallTime)
}

func (s *serverStats) mirrorDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastSent) > mirrorPeriod
}
