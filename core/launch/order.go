package launch

import (
	"time"

	"magnoliaworks/core/canary"
	"magnoliaworks/core/topo"
	"magnoliaworks/core/watch"
)

const (
	// takeoverTime is the time for which each host that ranks before this one has to refuse to decide before this one does.
	takeoverTime = time.Second
	// readLimit is the age of its last reading of the order up to which a host decides, and selfLimit that of its last finding that
	// it is its turn.
	readLimit = 2 * time.Second
	selfLimit = 1500 * time.Millisecond
	// settleTime is the time after it has first seen an order for which a host doesn't decide on it if the store has ever returned from
	// a copy. In the second half of it each host reports on the order, when watches have brought it to all.
	settleTime = time.Second
	// decidePeriod is the time between two looks at the evidence, unless there is none yet.
	decidePeriod = 100 * time.Millisecond
	// quorumShare is the share of the hosts whose reports a host needs to complete a roll-out, so that one that is cut off with a few
	// others doesn't by the few calls that it knows of. Each half of a fleet has enough.
	quorumShare = 1.0 / 3
)

// order is what a host keeps of an order that has not ended. It is guarded by the Keeper's mu.
type order struct {
	rollout topo.Rollout
	trial   *canary.Trial
	// duration is that of the order, which operators may change.
	duration time.Duration
	// condemned tells why the version is bad, if this host has found or heard so.
	condemned string
	// age is the greatest age of the order that a host has reported, and agedAt the time of the report.
	age    time.Duration
	agedAt time.Time
	// turnSince is the time since which it is this host's turn to decide, zero if it isn't; turnAt is the time of the last such
	// finding, and rank the number of hosts that rank before this one.
	turnSince time.Time
	turnAt    time.Time
	rank      int
	// readAt is the time at which this host last read the order from the store. doubtful is set after a write without an answer.
	readAt   time.Time
	doubtful bool
	// reportedAt holds the times of the last report of each host.
	reportedAt map[string]time.Time
	// decision is the last decision, and decidedAt its time.
	decision  canary.Decision
	decidedAt time.Time
	// wordAt is the time of the last word of a deciding host, or that at which this host learnt of the order.
	wordAt time.Time
	// deciding, silent, part and short are what was logged last. short means that too few hosts report to complete.
	deciding bool
	silent   bool
	part     float64
	short    bool
}

func newOrder(r topo.Rollout, share float64) *order {
	return &order{
		rollout:  r,
		trial:    canary.NewTrial(share, r.Duration),
		duration: r.Duration,
		wordAt:   time.Now(),

		reportedAt: make(map[string]time.Time),
	}
}

// setDuration changes the duration of the order.
func (o *order) setDuration(duration time.Duration) {
	o.duration = duration
	o.trial.SetDuration(duration)
}

// isFor reports whether the order is that of a roll-out, whose state and duration may have changed.
func (o *order) isFor(r topo.Rollout) bool {
	return o.rollout.Name == r.Name && o.rollout.Service == r.Service && o.rollout.Version == r.Version && o.rollout.SeenAt.Equal(r.SeenAt)
}

// ageAt returns the time since the order was given: the greatest that this host can't rule out, or that for which another one has known
// the order if that is more.
func (o *order) ageAt(now time.Time) time.Duration {
	age := o.rollout.Age(now)
	if o.agedAt.IsZero() {
		return age
	}
	return max(age, o.age+now.Sub(o.agedAt))
}

// recordAge records the age that a host has reported.
func (o *order) recordAge(age time.Duration, now time.Time) {
	if age > o.ageAt(now) || o.agedAt.IsZero() {
		o.age, o.agedAt = age, now
	}
}

// isTurn reports whether it is this host's turn to decide.
func (o *order) isTurn(now time.Time) bool {
	return !o.turnSince.IsZero() && now.Sub(o.turnAt) <= selfLimit && now.Sub(o.turnSince) >= time.Duration(o.rank)*takeoverTime
}

// decides reports whether this host decides: it is its turn, and it sees the store.
func (o *order) decides(now time.Time) bool {
	return o.isTurn(now) && now.Sub(o.readAt) <= readLimit
}

// mayHaveEnded reports whether the order may have an end that the store has lost by a return from a copy, and of which hosts that know it
// have not had time to tell this one.
func (o *order) mayHaveEnded(now time.Time) bool {
	return watch.HasReturned(o.rollout.Revision) && now.Sub(o.rollout.SeenAt) < settleTime
}

// recordTurn records whether it is this host's turn, after some others.
func (o *order) recordTurn(turn bool, rank int, now time.Time) {
	switch {
	case !turn || o.mayHaveEnded(now):
		o.turnSince = time.Time{}
	case o.turnSince.IsZero():
		o.turnSince = now
	}
	o.turnAt, o.rank = now, rank
}

// condemn records why the version is bad.
func (o *order) condemn(cause string) {
	if cause == "" || o.condemned != "" {
		return
	}
	o.condemned = cause
	o.trial.Condemn(cause)
	o.decidedAt = time.Time{}
}

// hasQuorum reports whether enough of some hosts have reported lately.
func (o *order) hasQuorum(hosts int, now time.Time) bool {
	for host, at := range o.reportedAt {
		if now.Sub(at) > readLimit {
			delete(o.reportedAt, host)
		}
	}
	return float64(len(o.reportedAt)) >= quorumShare*float64(hosts)
}

// decide returns the decision by the evidence, as of the last look at that and at the servers. Once the order's time is over, the version
// gets nothing until its end is written.
func (o *order) decide(now time.Time, state *topo.State) canary.Decision {
	if now.Sub(o.decidedAt) >= decidePeriod {
		age := o.ageAt(now)
		o.decision, o.decidedAt = o.trial.Decide(age, state.HasVersion(o.rollout.Service, o.rollout.Version)), now
		if age >= o.duration {
			o.decision.Part = 0
		}
		if o.decision.Verdict == canary.Bad {
			o.condemn(o.decision.Cause)
		}
	}
	return o.decision
}
