package route

import (
	"sync"
	"time"

	"magnoliaworks/core/query"
)

const (
	// increaseWeight and decreaseWeight are the weights of an observation above and below the smoothed latency factor.
	// The second is greater: a server that was slow gets few requests, so few must show that it is fast again.
	increaseWeight = 0.35
	decreaseWeight = 0.5
	// maxObservedFactor bounds the latency factor of one reply, so that a single pause does not make a server look slow.
	maxObservedFactor = 6
	// hedgeLostFactor multiplies the latency factor of a server when another one replied first.
	hedgeLostFactor = 1.5
	// maxLatencyFactor bounds the latency factor after lost hedges.
	maxLatencyFactor = 500
	// errorRateWeight is the weight of one result in the smoothed error rate.
	errorRateWeight = 0.3
	// errorPenaltyFactor and errorPenaltyTime are the cost of a failed call beyond its own time: a multiple of that time,
	// and a fixed time for repeating the call. With these values two failures among a few calls make a remote server
	// the better choice, and a single failure does not.
	errorPenaltyFactor = 5
	errorPenaltyTime   = 40 * time.Millisecond
	// ejectionThreshold is the number of consecutive failures at which a server is ejected.
	ejectionThreshold = 3
	// ejectionTime is the time for which an ejected server is avoided.
	ejectionTime = 2 * time.Second
	// avoidTime is the time for which a server that rejected a request is avoided.
	avoidTime = 200 * time.Millisecond
	// mirrorPeriod is the time without a request after which a slow server may get a mirror.
	mirrorPeriod = 2 * time.Second
	// feedbackValidity is the time for which the queue wait and load of the last feedback are used.
	feedbackValidity = 300 * time.Millisecond
	// stallFactor is the multiple of the longest expected latency, and minStallTime the least time, without any reply
	// after which a server with requests in progress counts as stalled.
	stallFactor  = 4
	minStallTime = 25 * time.Millisecond
)

// serverStats holds what this host has observed of one backend server. It is safe for concurrent use.
type serverStats struct {
	mu sync.Mutex
	// latencyFactor is the smoothed ratio of the server's latencies to the medians of their kinds; 0 while unknown.
	latencyFactor       float64
	outstanding         int
	consecutiveFailures int
	// errorRate is the smoothed share of failed calls.
	errorRate  float64
	feedback   query.Feedback
	feedbackAt time.Time
	lastSent   time.Time
	avoidUntil time.Time
	// silentSince is the time of the last result, or of the first request after a time with none in progress.
	silentSince time.Time
	// longestExpected is the longest expected latency of the requests since the server was last idle.
	longestExpected time.Duration
}

// started records that a request of a kind with the given median latency is sent to the server.
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

// succeeded records a reply after the given time to a request of a kind with the given median latency.
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

// hedgeLost records a request to which another server replied first, after the given time.
// The latency of this server is not known but is longer, so its factor grows until other servers are chosen.
func (s *serverStats) hedgeLost(took, median time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ratio := float64(took) / float64(max(median, time.Microsecond))
	s.latencyFactor = min(hedgeLostFactor*max(ratio, s.latencyFactor), maxLatencyFactor)
}

// refused records a request that was not executed; the server is avoided for the given time.
func (s *serverStats) refused(feedback query.Feedback, avoid time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished(now)
	s.feedback, s.feedbackAt = feedback, now
	s.avoidUntil = now.Add(avoid)
}

// failed records a failed request and reports whether it ejects the server.
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

// cancelled records a request that was cancelled before its result.
func (s *serverStats) cancelled() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outstanding--
}

// finished records the end of a request, with any result; s.mu is held.
func (s *serverStats) finished(now time.Time) {
	s.outstanding--
	s.silentSince = now
}

// estimate returns the expected time to a reply to a kind with the given median latency, or 0 if the server is unknown;
// unknown servers are therefore chosen first. The estimate is the typical latency, the wait behind the requests ahead
// and the expected cost of failures.
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

// typicalLatency returns the given median latency of a kind, scaled by the latency factor of the server; s.mu is held.
func (s *serverStats) typicalLatency(median time.Duration) time.Duration {
	if s.latencyFactor == 0 {
		return median
	}
	return time.Duration(s.latencyFactor * float64(median))
}

// avoided reports whether the server is ejected, has rejected a request lately or is stalled.
func (s *serverStats) avoided(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.avoidUntil) || s.stalled(now)
}

// stalled reports whether requests are in progress and no result has come for much longer than expected; s.mu is held.
func (s *serverStats) stalled(now time.Time) bool {
	return s.outstanding > 0 && now.Sub(s.silentSince) > max(stallFactor*s.longestExpected, minStallTime)
}

// mirrorDue reports whether no request has been sent to the server for mirrorPeriod.
func (s *serverStats) mirrorDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastSent) > mirrorPeriod
}
