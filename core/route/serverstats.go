package route

import (
	"math"
	"sync"
	"time"

	"magnoliaworks/core/query"
)

const (
	// increaseWeight and decreaseWeight are the weights of an observation above and below the smoothed latency factor.
	// The second is greater: a slow server gets few calls, so a few fast replies must suffice to show that it has recovered.
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
	// refusalHalfLife is the time without calls after which the refusal rate counts half.
	refusalHalfLife = 3 * time.Second
	// errorPenaltyFactor and errorPenaltyTime are the cost of a failed call beyond its own time: a multiple of that time,
	// and a fixed time for repeating the call. With these values two failures among a few calls make a remote server
	// the better choice, and a single failure does not.
	errorPenaltyFactor = 5
	errorPenaltyTime   = 40 * time.Millisecond
	// ejectionThreshold is the number of consecutive failures at which a server is ejected.
	ejectionThreshold = 3
	// ejectionTime is the time for which an ejected server, or one whose address another server uses, is avoided.
	ejectionTime = 2 * time.Second
	// avoidTime is the time for which a server is avoided after a call was not executed, for causes other than WrongServer.
	avoidTime = 200 * time.Millisecond
	// mirrorPeriod is the time without a call after which a slow server may get a mirror.
	mirrorPeriod = 2 * time.Second
	// feedbackValidity is the time for which the queue wait and load of the last feedback are used.
	feedbackValidity = 300 * time.Millisecond
	// estimateHalfLife is the time without a call in which the deviation of a server's estimate from that of an ordinary server
	// halves in comparisons, so that a slow server is tried again.
	estimateHalfLife = 2 * time.Second
	// noiseShare is the share of the longer time up to which two estimates differ by chance.
	noiseShare = 0.25
	// stallFactor is the multiple of the longest typical latency, and minStallTime the least time, without any result
	// after which a server with calls in progress counts as stalled.
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
	// errorRate is the smoothed share of failed calls, and refusalRate that of calls refused by chance, as of refusedAt.
	errorRate   float64
	refusalRate float64
	refusedAt   time.Time
	slowdown    slowdown
	feedback    query.Feedback
	feedbackAt  time.Time
	// dataCentre is that of the server; empty until the server was a candidate.
	dataCentre  string
	lastStarted time.Time
	avoidUntil  time.Time
	// silentSince is the time of the last result, or that of the first call since the server was last idle if that is later.
	silentSince time.Time
	// longestTypical is the longest typical latency of the calls since the server was last idle.
	longestTypical time.Duration
}

// started records that a call of a kind with the given median latency is submitted for the server.
func (s *serverStats) started(median time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outstanding == 0 {
		s.silentSince, s.longestTypical = now, 0
	}
	s.longestTypical = max(s.longestTypical, s.typicalLatency(median))
	s.outstanding++
	s.lastStarted = now
}

// succeeded records a reply after the given time to a call of a kind with the given median latency.
func (s *serverStats) succeeded(took, median time.Duration, feedback query.Feedback, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished(now)
	s.consecutiveFailures = 0
	s.errorRate -= errorRateWeight * s.errorRate
	s.refusalRate, s.refusedAt = (1-errorRateWeight)*s.refusals(now), now
	s.feedback, s.feedbackAt = feedback, now
	s.slowdown = s.slowdown.with(feedback.Load.Slowdown, now)
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

// hedgeLost records a call that lost to another server, which replied after the given time.
// The latency of this server is not known but is longer, so its factor grows until other servers are chosen.
func (s *serverStats) hedgeLost(took, median time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ratio := float64(took) / float64(max(median, time.Microsecond))
	s.latencyFactor = min(hedgeLostFactor*max(ratio, s.latencyFactor), maxLatencyFactor)
}

// notExecuted records a call that was not executed, by chance if refused is set; the server is avoided for the given time, and not for
// less than an ejection that has begun.
func (s *serverStats) notExecuted(refused bool, feedback query.Feedback, avoid time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished(now)
	if refused {
		rate := s.refusals(now)
		s.refusalRate, s.refusedAt = rate+errorRateWeight*(1-rate), now
	}
	s.feedback, s.feedbackAt = feedback, now
	if until := now.Add(avoid); until.After(s.avoidUntil) {
		s.avoidUntil = until
	}
}

// failed records a failed call and reports whether it ejects the server; ejected is false while the server is avoided
// already, for whatever reason, though the time is extended.
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

// locate records the data centre of the server.
func (s *serverStats) locate(dataCentre string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dataCentre = dataCentre
}

// statesSlowdown reports whether the server's last feedback stated its slowdown.
func (s *serverStats) statesSlowdown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.feedback.Load.Slowdown > 0
}

// place returns the data centre of the server; empty until the server was a candidate.
func (s *serverStats) place() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dataCentre
}

func (s *serverStats) outstandingCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outstanding
}

// cancelled records a call that was cancelled before its result.
func (s *serverStats) cancelled() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outstanding--
}

// finished records the end of a call, with any result; s.mu is held.
func (s *serverStats) finished(now time.Time) {
	s.outstanding--
	s.silentSince = now
}

// estimate returns the expected time to a reply to a kind with the given median latency, or 0 if the server is unknown;
// unknown servers are therefore chosen first. The estimate is the typical latency, the wait behind the calls ahead
// and the expected cost of failures.
func (s *serverStats) estimate(median time.Duration, slots int, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.known() {
		return 0
	}
	latency := s.latencyNow(median, now)
	expected := latency + s.queueWait(latency, slots, now)
	return expected + failureCost(s.errorRate+s.refusals(now), expected)
}

// prospect returns the estimate in the parts by which two servers are compared. Without calls it approaches that of an ordinary
// server.
func (s *serverStats) prospect(median time.Duration, slots int, now time.Time) prospect {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.known() {
		return prospect{}
	}
	weight := math.Exp2(-float64(now.Sub(s.lastStarted)) / float64(estimateHalfLife))
	latency := median + time.Duration(weight*float64(s.latencyNow(median, now)-median))
	wait := s.queueWait(latency, slots, now)
	return prospect{
		known:   true,
		latency: latency + failureCost(weight*s.errorRate+s.refusals(now), latency+wait),
		wait:    wait,
	}
}

// known reports whether a call has succeeded or was refused, or the last one failed; s.mu is held.
func (s *serverStats) known() bool {
	return s.latencyFactor > 0 || s.consecutiveFailures > 0 || s.refusalRate > 0
}

// refusals returns the refusal rate, which falls with the time since the last call; s.mu is held. Each repeat of a refused call takes
// from a budget, so that a server which accepts its calls is worth a longer way.
func (s *serverStats) refusals(now time.Time) float64 {
	if s.refusalRate == 0 {
		return 0
	}
	return s.refusalRate * math.Exp2(-float64(now.Sub(s.refusedAt))/float64(refusalHalfLife))
}

// queueWait returns the expected wait behind the calls ahead on a server with the given typical latency; s.mu is held.
func (s *serverStats) queueWait(latency time.Duration, slots int, now time.Time) time.Duration {
	var wait time.Duration
	ahead := s.outstanding
	if now.Sub(s.feedbackAt) < feedbackValidity {
		wait = s.feedback.QueueWait
		ahead = max(ahead, s.feedback.Load.Running+s.feedback.Load.Waiting)
	}
	if slots > 0 {
		wait += time.Duration(max(ahead+1-slots, 0)) * latency / time.Duration(slots)
	}
	return wait
}

// failureCost returns the expected cost of failures of calls that take the given time.
func failureCost(errorRate float64, expected time.Duration) time.Duration {
	return time.Duration(errorRate * (errorPenaltyFactor*float64(expected) + float64(errorPenaltyTime)))
}

// typicalLatency returns the given median latency of a kind, scaled by the latency factor of the server; s.mu is held.
func (s *serverStats) typicalLatency(median time.Duration) time.Duration {
	if s.latencyFactor == 0 {
		return median
	}
	return time.Duration(s.latencyFactor * float64(median))
}

// latencyNow returns the typical latency, corrected by what the server states of the moment; s.mu is held.
func (s *serverStats) latencyNow(median time.Duration, now time.Time) time.Duration {
	return time.Duration(s.slowdown.factor(now) * float64(s.typicalLatency(median)))
}

// avoided reports whether the server is ejected, is to be avoided after a call that was not executed, or is stalled.
func (s *serverStats) avoided(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.avoidUntil) || s.stalled(now)
}

// stalled reports whether calls are in progress and no result has come for much longer than is typical; s.mu is held.
func (s *serverStats) stalled(now time.Time) bool {
	return s.outstanding > 0 && now.Sub(s.silentSince) > max(stallFactor*s.longestTypical, minStallTime)
}

// mirrorDue reports whether no call has been submitted for the server for mirrorPeriod.
func (s *serverStats) mirrorDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastStarted) > mirrorPeriod
}
