package launch

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/core/canary"
	"magnoliaworks/core/member"
	"magnoliaworks/core/topo"
	"magnoliaworks/core/watch"
)

const (
	// readPeriod is the time between two readings of an order by the host that decides on it.
	readPeriod = time.Second
	// storeTimeout is the timeout of a call to the store.
	storeTimeout = 900 * time.Millisecond
)

// tend reads the order from the store and writes what was decided, if it is this host's turn.
func (k *Keeper) tend(ctx context.Context, r topo.Rollout) {
	turn, due := false, false
	k.withOrder(r, func(o *order) {
		now := time.Now()
		turn = o.isTurn(now)
		due = o.doubtful || now.Sub(o.readAt) >= readPeriod
		if decides := o.decides(now); decides != o.deciding {
			o.deciding = decides
			k.recordDuty(r, decides)
		}
	})
	if !turn || (due && !k.read(ctx, r)) {
		return
	}
	current, ok := k.options.State.Load().Rollout(r.Service)
	if !ok || current.Version != r.Version || current.State.Ended() {
		return
	}
	next, cause := k.nextState(current)
	if next != current.State {
		k.write(ctx, current, next, cause)
	} else if current.Unwritten {
		k.writeAgain(ctx, current)
	}
}

// restore writes the final states of orders again that the store has lost, if it is this host's turn.
func (k *Keeper) restore(ctx context.Context) {
	for _, r := range k.lostStates(time.Now()) {
		if !k.read(ctx, r) {
			continue
		}
		if current, ok := k.options.State.Load().Rollout(r.Service); ok && current.Unwritten && current.State == r.State {
			k.writeAgain(ctx, current)
		}
	}
}

// lostStates returns the ended orders whose states this host has to write again: the first of the ranked hosts at once, each other one
// takeoverTime after the one before it.
func (k *Keeper) lostStates(now time.Time) []topo.Rollout {
	state := k.options.State.Load()
	k.mu.Lock()
	defer k.mu.Unlock()
	var lost []topo.Rollout
	since := make(map[string]time.Time)
	for _, r := range state.Rollouts() {
		if !r.Unwritten || !r.State.Ended() || faultOf(state, r) != "" {
			continue
		}
		at, known := k.lostSince[r.Name]
		if !known {
			at = now
		}
		since[r.Name] = at
		ranked := member.Rank(k.options.Membership.Available(), "rollout/"+r.Service, deciders)
		rank := slices.IndexFunc(ranked, func(m member.Member) bool { return m.ID == k.options.Self })
		if rank >= 0 && now.Sub(at) >= time.Duration(rank)*takeoverTime {
			lost = append(lost, r)
		}
	}
	k.lostSince = since
	return lost
}

// writeAgain writes the known state of an order that the store has lost.
func (k *Keeper) writeAgain(ctx context.Context, r topo.Rollout) {
	k.options.CountEvent("rollout_restored")
	k.write(ctx, r, r.State, "the store has lost the state by a return from a copy")
}

func (k *Keeper) recordDuty(r topo.Rollout, decides bool) {
	if decides {
		k.options.Journal.Record("launch", r.Service, "decides on the roll-out", "order "+r.Name+" for version "+r.Version)
		return
	}
	k.options.Journal.Record("launch", r.Service, "decides no more", "the order ended, another host decides or the store is away")
}

// read reads the order. It reports whether the store has answered.
func (k *Keeper) read(ctx context.Context, r topo.Rollout) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := k.options.Store.Get(ctx, r.Name)
	if err != nil {
		if !errors.Is(err, ErrAbsent) {
			k.options.CountEvent("rollout_not_read")
		}
		return false
	}
	k.options.Orders.Learn(watch.Rollouts, object)
	k.withOrder(r, func(o *order) { o.readAt, o.doubtful = time.Now(), false })
	return true
}

// nextState returns the state that the roll-out should have, and the figures that decided it. It stays unless this host decides.
func (k *Keeper) nextState(r topo.Rollout) (next topo.RolloutState, cause string) {
	next = r.State
	now, state := time.Now(), k.options.State.Load()
	k.withOrder(r, func(o *order) {
		if !o.decides(now) {
			return
		}
		d := o.decide(now, state)
		next, cause = topo.Active, d.Cause
		switch {
		case r.State == topo.Ordered:
		case state.IsInUse(r):
			next, cause = topo.Completed, "the version was in use before the order"
		case o.condemned != "":
			next, cause = topo.RolledBack, o.condemned
		case d.Verdict == canary.Good && o.hasQuorum(k.options.Membership.HostCount(), now):
			next = topo.Completed
		case d.Verdict == canary.Good && !o.short:
			o.short = true
			k.options.CountEvent("rollout_short")
			k.options.Journal.Record("launch", r.Service, "not completed yet", fmt.Sprintf("%d of %d hosts report", len(o.reportedAt), k.options.Membership.HostCount()))
		case d.Part != o.part:
			o.part = d.Part
			k.options.Journal.Record("launch", r.Service, "part changed", decisionText(d, o.ageAt(now)))
		}
	})
	return next, cause
}

// write writes a state on the condition that the order is as it was read. Without an answer the order is read before the next write.
func (k *Keeper) write(ctx context.Context, r topo.Rollout, next topo.RolloutState, cause string) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := k.options.Store.PutState(ctx, r, next)
	if object.Name != "" {
		k.options.Orders.Learn(watch.Rollouts, object)
	}
	if err != nil {
		k.withOrder(r, func(o *order) { o.doubtful = true })
		k.options.CountEvent("rollout_not_written")
		k.options.Journal.Record("launch", r.Service, "state not written", next.String()+": "+err.Error())
		return
	}
	if object.Name == "" {
		k.withOrder(r, func(o *order) { o.doubtful = true })
	}
	switch next {
	case topo.Completed:
		k.options.CountEvent("rollout_completed")
	case topo.RolledBack:
		k.options.CountEvent("rollout_rolled_back")
	default:
		k.options.CountEvent("rollout_active")
	}
	k.options.Journal.Record("launch", r.Service, "version "+r.Version+" "+next.String(), cause)
}
