package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"magnoliaworks/core/timer"
	"magnoliaworks/stand/site"
)

const (
	// rolloutService has servers of two versions in runs with roll-outs, those with an even seed.
	rolloutService = "desk"
	// orderTime is the duration of an order, and orderLimit the time after which a run waits no longer for its end.
	orderTime  = 5 * time.Second
	orderLimit = 12 * time.Second
	// afterOrder is the time for which requests to the version that was left are counted.
	afterOrder = 6 * time.Second
)

// addVersion starts further replicas of a service, of version v2, beside those that addService has started.
func (s *soak) addVersion(service string, replicas int, serviceTime time.Duration) error {
	for i := range replicas {
		id := fmt.Sprintf("%s-v2-%d", service, i)
		if err := s.addServer(service, id, i, serviceTime); err != nil {
			return err
		}
		s.newServers = append(s.newServers, id)
		s.site.Server(id).Set(site.WithVersion("v2"))
		s.site.Register(id, "ready", 0)
	}
	return nil
}

// rollOutInTurn gives orders until some time, one after the other, each for the version that is not in use.
func (s *soak) rollOutInTurn(ctx context.Context, until time.Time) error {
	random := rand.New(rand.NewPCG(s.config.Seed, 97))
	inUse, target := "v1", "v2"
	for time.Now().Before(until) && ctx.Err() == nil {
		s.updateReport(func(r *Report) { r.Faults["rollout"]++ })
		if s.rollOut(ctx, target, random.IntN(2) == 0) == "completed" {
			inUse, target = target, inUse
		}
	}
	return nil
}

// rollOut orders a version, which fails half of its requests if it is bad, and checks that the order ends in one state at most. It returns
// that state.
func (s *soak) rollOut(ctx context.Context, target string, bad bool) (state string) {
	ids := s.newServers
	if target == "v1" {
		ids = slices.DeleteFunc(slices.Clone(s.serverIDs), func(id string) bool { return s.site.Server(id).Runs() != rolloutService+" v1" })
	}
	if bad {
		for _, id := range ids {
			s.site.Server(id).Set(site.WithReplyFault(site.Failing, 0.5))
		}
	}
	if s.site.OrderState(rolloutService) == "rolled_back" {
		s.site.Store.Delete("rollouts", rolloutService)
	}
	before := len(s.site.Store.Statuses(rolloutService))
	s.site.Order(rolloutService, target, orderTime)
	for began := time.Now(); time.Since(began) < orderLimit && ctx.Err() == nil && state == ""; {
		_ = timer.Sleep(ctx, 50*time.Millisecond)
		state = s.site.EndOrder(rolloutService)
	}
	_ = timer.Sleep(ctx, afterOrder)
	// A state follows itself only if it was written again after the store had lost it.
	states := slices.Compact(s.site.Store.Statuses(rolloutService)[before:])
	ended := slices.DeleteFunc(slices.Clone(states), func(state string) bool { return state == "active" })
	if len(ended) > 1 || (len(ended) == 1 && states[len(states)-1] != ended[0]) {
		s.addViolation("rollout_state", "", fmt.Sprintf("the states %v were written for one order", states))
	}
	for _, id := range ids {
		s.site.Server(id).Set(site.WithReplyFault(site.NoFault, 0))
	}
	return state
}
