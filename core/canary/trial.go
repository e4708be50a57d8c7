package canary

import (
	"fmt"
	"time"
)

const (
	// badWeight is the evidence from which a version is bad at any time: a chance of 1 in 20,000 for a good one.
	badWeight = 10
	// doubtWeight is the evidence that is enough once the order has to be decided, and doubtShare the share of bad calls that is,
	// whatever the old version does.
	doubtWeight = 3
	doubtShare  = 0.5
	// manyBad is the number of bad calls from which doubtWeight is enough at any time, so that a version that is only a little worse
	// doesn't go on.
	manyBad = 30
	// wantedCalls is the number of compared calls from which a version may be called good before it has to be.
	wantedCalls = 30
	// goodWeight is the evidence below which it may.
	goodWeight = 1
	// leastCalls is the number of compared calls without which a version isn't called good at all, and fewCalls that below which it gets
	// half of the calls in the end.
	leastCalls = 3
	fewCalls   = 10
	// Shares of the order's duration: the load of the new version begins at loadShare, a version may be good from goodShare on, and the
	// order is decided at lastShare, which leaves the rest for a store that is away.
	loadShare = 0.4
	goodShare = 0.75
	lastShare = 0.8
	// A host that has taken over decides only when it has had evidence for freshShare of the duration, and one without enough calls waits
	// for them, but both decide at lateShare of the duration at the latest. Evidence that was interrupted for longer than evidenceGap
	// begins anew.
	freshShare  = 0.25
	lateShare   = 0.95
	evidenceGap = 2 * time.Second
	// firstPart is the part of the calls that go to the new version at first. It doubles with each stepCalls good calls, or stepTime
	// where calls are few, up to half of the fleet's share, and up to maxPart while there are less than wantedCalls.
	firstPart = 0.02
	maxPart   = 0.25
	stepCalls = 5
	stepTime  = time.Second
	// LoadPart is the part from which calls go to half of the new servers, so that each gets as many as one of the old version. The
	// load lasts for loadTime out of loadPeriod; in the rest the quotas are saved for it.
	LoadPart   = 0.5
	loadTime   = 500 * time.Millisecond
	loadPeriod = 2 * time.Second
)

// Verdict is the judgement of a new version.
type Verdict int

// The verdicts.
const (
	Undecided Verdict = iota
	Good
	Bad
)

// String returns the verdict for logs.
func (v Verdict) String() string {
	switch v {
	case Good:
		return "good"
	case Bad:
		return "bad"
	default:
		return "undecided"
	}
}

// Decision is what a trial has come to.
type Decision struct {
	Verdict Verdict
	// Part is the part of the calls that goes to the new version, as far as quotas permit.
	Part float64
	// Cause tells the figures that decided it.
	Cause string
}

// Trial is the trial of a new version as the deciding host leads it. It belongs to one goroutine.
type Trial struct {
	share    float64
	duration time.Duration
	judge    *Judge
	part     float64
	// stepAt and callsAtStep are the age and the number of calls at the last change of the part.
	stepAt      time.Duration
	callsAtStep int
	// evidentFrom and evidentUntil are the ages of the first and the last report without an interruption.
	evidentFrom  time.Duration
	evidentUntil time.Duration
	// condemned is the cause for which the version was called bad, which stays so.
	condemned string
}

// NewTrial returns the trial for an order of some duration, in a fleet that sends new versions a share of the calls.
func NewTrial(share float64, duration time.Duration) *Trial {
	return &Trial{
		share:    share,
		duration: duration,
		judge:    NewJudge(),
		part:     firstPart,
	}
}

// SetDuration changes the duration of the order.
func (t *Trial) SetDuration(duration time.Duration) { t.duration = duration }

// Add counts a host's report at an age of the order.
func (t *Trial) Add(host string, rows []Row, age time.Duration) {
	if age-t.evidentUntil > evidenceGap {
		t.evidentFrom = age
	}
	t.evidentUntil = age
	t.judge.Add(host, rows, age)
}

// lastAge returns the age at which the order has to be decided with some number of compared calls.
func (t *Trial) lastAge(calls int) time.Duration {
	share := func(s float64) time.Duration { return time.Duration(s * float64(t.duration)) }
	if calls < leastCalls {
		return share(lateShare)
	}
	return max(share(lastShare), min(t.evidentFrom+share(freshShare), share(lateShare)))
}

// Condemn makes the version bad for a cause that is known from elsewhere.
func (t *Trial) Condemn(cause string) {
	if t.condemned == "" {
		t.condemned = cause
	}
}

// Decide returns the decision at an age of the order. present tells whether servers of the new version are there.
func (t *Trial) Decide(age time.Duration, present bool) Decision {
	f := t.judge.Finding()
	if f.Weight >= badWeight || (f.Bad >= manyBad && f.Weight >= doubtWeight) {
		t.Condemn(f.String())
	}
	last := age >= t.lastAge(f.Calls)
	switch {
	case t.condemned != "":
	case last && !present:
		t.Condemn("no server has the version")
	case last && f.Calls < leastCalls:
		t.Condemn("too few calls could be compared, " + f.String())
	case last && f.Weight >= doubtWeight:
		t.Condemn("at the end of the time, " + f.String())
	case last && float64(f.Bad) > doubtShare*float64(f.Calls):
		t.Condemn("it was not shown to be good, " + f.String())
	}
	switch {
	case t.condemned != "":
		return Decision{
			Verdict: Bad,
			Cause:   t.condemned,
		}
	case last, present && age >= time.Duration(goodShare*float64(t.duration)) && f.Calls >= wantedCalls && f.Weight < goodWeight && t.acceptable(f):
		return Decision{
			Verdict: Good,
			Part:    1,
			Cause:   fmt.Sprintf("%s, after %.1f s", f, age.Seconds()),
		}
	}
	return Decision{
		Part:  t.nextPart(f, age),
		Cause: f.String(),
	}
}

// acceptable reports whether nothing speaks against the version.
func (t *Trial) acceptable(f Finding) bool {
	return f.Weight < doubtWeight && float64(f.Bad) <= doubtShare*float64(f.Calls)
}

// nextPart returns the part of the calls for the new version. It grows only while nothing speaks against the version.
func (t *Trial) nextPart(f Finding, age time.Duration) float64 {
	if !t.acceptable(f) {
		return max(t.part, t.share/2)
	}
	limit := t.share / 2
	if f.Calls < wantedCalls {
		limit = maxPart
	}
	loaded := age - time.Duration(loadShare*float64(t.duration))
	switch {
	case loaded >= 0 && (f.Calls < fewCalls || loaded%loadPeriod < loadTime):
		return LoadPart
	case loaded >= 0 && f.Calls >= wantedCalls:
		return firstPart
	}
	if f.Calls-t.callsAtStep >= stepCalls || age-t.stepAt >= stepTime {
		t.part = min(2*t.part, limit)
		t.stepAt, t.callsAtStep = age, f.Calls
	}
	return t.part
}
