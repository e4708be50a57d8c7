package route

import (
	"sync"
	"time"
)

const (
	// scoreWeight is the weight of a new observation in the smoothed time.
	scoreWeight = 0.2
	// lostFactor multiplies the estimate of a server that lost against a hedge.
	lostFactor = 1.5
	// maxEstimate bounds an estimate.
	maxEstimate = 5 * time.Second
	// ejectAfter is the number of failures in a row after which a server is not chosen.
	ejectAfter = 3
	// ejectTime is the time before an ejected server is tried again.
	ejectTime = 2 * time.Second
	// avoidTime is the time during which a server that refused work is passed over.
	avoidTime = 200 * time.Millisecond
	// mirrorPeriod is the time between two trials of a server that is passed over for its slowness.
	mirrorPeriod = 2 * time.Second
	// waitTrust is the time during which a reported wait counts.
	waitTrust = 300 * time.Millisecond
)

// score is what a host has observed of one backend server through its home.
type score struct {
	mu          sync.Mutex
	finish      time.Duration
	outstanding int
	failures    int
	wait        time.Duration
	waitAt      time.Time
	lastTrial   time.Time
	passedUntil time.Time
}

func (s *score) begin(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outstanding++
	s.lastTrial = now
}

// done records a reply that took the given time.
func (s *score) done(took, wait time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outstanding--
	s.failures = 0
	s.wait, s.waitAt = wait, now
	if s.finish == 0 {
		s.finish = took
		return
	}
	s.finish += time.Duration(scoreWeight * float64(took-s.finish))
}

// slow records a sub-request that was given up after the given time because another server was faster.
// The true time is not known but longer, so the estimate grows by a factor until the server is passed over.
func (s *score) slow(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outstanding--
	s.finish = min(time.Duration(lostFactor*float64(max(took, s.finish))), maxEstimate)
}

// refused records a refusal and passes the server over for a moment.
func (s *score) refused(wait time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outstanding--
	s.wait, s.waitAt = wait, now
	s.passedUntil = now.Add(avoidTime)
}

// failed records a failure and reports whether it ejects the server.
func (s *score) failed(now time.Time) (ejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outstanding--
	s.failures++
	if s.failures < ejectAfter {
		return false
	}
	ejected = now.After(s.passedUntil)
	s.passedUntil = now.Add(ejectTime)
	return ejected
}

// cancelled records a sub-request whose result was not wanted any more.
func (s *score) cancelled() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outstanding--
}

// estimate returns the expected time to a reply; unknown servers have 0 and are tried first.
func (s *score) estimate(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	expected := s.finish
	if now.Sub(s.waitAt) < waitTrust {
		expected += s.wait
	}
	return expected
}

func (s *score) passedOver(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.passedUntil)
}

func (s *score) trialDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastTrial) > mirrorPeriod
}
