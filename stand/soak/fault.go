package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/timer"
	"magnoliaworks/stand"
	"magnoliaworks/stand/site"
)

// fault is one kind of fault; run starts and ends it.
type fault struct {
	name string
	// planned means that hosts and store stay in contact; other faults count as disturbances, during which hosts may not
	// know the state of the store.
	planned bool
	// storeWide means that the store, or the way of all hosts to it, has trouble while the fault runs.
	storeWide bool
	run       func(ctx context.Context, s *soak, random *rand.Rand) error
}

// faults returns the faults from which a run draws.
func faults() []fault {
	return append(entryFaults(), []fault{
		{name: "term", planned: true, run: func(_ context.Context, s *soak, r *rand.Rand) error { return s.randomHost(r).restart(syscall.SIGTERM) }},
		{name: "kill", run: func(_ context.Context, s *soak, r *rand.Rand) error { return s.randomHost(r).restart(syscall.SIGKILL) }},
		{name: "hang_up", planned: true, run: func(_ context.Context, s *soak, r *rand.Rand) error {
			s.randomHost(r).signal(syscall.SIGHUP)
			return nil
		}},
		{name: "seeds_down", planned: true, run: restartWithoutPeers},
		{name: "pause", run: pauseHost},
		{name: "store_busy", storeWide: true, run: degradeStore(site.StoreBusy)},
		{name: "store_throttled", storeWide: true, run: degradeStore(site.StoreThrottled)},
		{name: "store_slow", storeWide: true, run: degradeStore(site.StoreSlow)},
		{name: "store_silent", storeWide: true, run: degradeStore(site.StoreSilent)},
		{name: "store_forgets", planned: true, run: func(_ context.Context, s *soak, _ *rand.Rand) error { s.site.Store.Compact(); return nil }},
		{name: "store_cut", storeWide: true, run: withProxyMode(func(s *soak, _ *rand.Rand) []*proxy { return []*proxy{s.storeProxy} }, dropFromServer)},
		{name: "store_deaf", storeWide: true, run: func(_ context.Context, s *soak, r *rand.Rand) error {
			s.storeProxy.silence(func() bool { return r.IntN(2) == 0 })
			return nil
		}},
		{name: "store_loses_watches", storeWide: true, run: loseWatchAnswers},
		{name: "store_returns", storeWide: true, run: returnStore},
		{name: "servers_delayed", run: withProxyMode(randomServerProxies, delayBoth)},
		{name: "servers_deaf", run: withProxyMode(randomServerProxies, dropToServer)},
		{name: "servers_mute", run: withProxyMode(randomServerProxies, dropFromServer)},
		{name: "servers_reset", run: func(_ context.Context, s *soak, r *rand.Rand) error {
			for _, p := range randomServerProxies(s, r) {
				p.reset()
			}
			return nil
		}},
		{name: "tricks", planned: true, run: misbehave},
		{name: "servers_say_they_leave", planned: true, run: sayServersLeave},
		{name: "servers_ask_for_quiet", planned: true, run: askForQuiet},
		{name: "drain", planned: true, run: drainServer},
		{name: "evacuate", planned: true, run: evacuateDataCentre},
		{name: "configuration", planned: true, run: changeTimeout},
		{name: "keys_change", planned: true, run: changeKeys},
		{name: "route_moves", planned: true, run: moveRoute},
		{name: "repartition", planned: true, run: changeShardSet},
		{name: "repartition_and_term", planned: true, run: changeShardSetAndRestart},
	}...)
}

// restartWithoutPeers starts a host anew with a peer at which nobody listens.
func restartWithoutPeers(_ context.Context, s *soak, r *rand.Rand) error {
	down, err := stand.FreeAddress()
	if err != nil {
		return err
	}
	h := s.randomHost(r)
	if err := h.writeSettings([]string{down}); err != nil {
		return err
	}
	return h.restart(syscall.SIGTERM)
}

// pauseHost stops a process for 1 to 3 s and continues it.
func pauseHost(ctx context.Context, s *soak, r *rand.Rand) error {
	h := s.randomHost(r)
	h.faultMu.Lock()
	defer h.faultMu.Unlock()
	defer h.touch.disturb()()
	h.signal(syscall.SIGSTOP)
	_ = timer.Sleep(ctx, time.Second+rand.N(2*time.Second))
	h.signal(syscall.SIGCONT)
	return nil
}

// degradeStore puts the store into a faulty state for 1 to 4 s.
func degradeStore(m site.StoreState) func(context.Context, *soak, *rand.Rand) error {
	return func(ctx context.Context, s *soak, r *rand.Rand) error {
		s.site.Store.SetState(m)
		_ = timer.Sleep(ctx, time.Duration(1+r.IntN(4))*time.Second)
		s.site.Store.SetState(site.StoreUp)
		return nil
	}
}

// loseWatchAnswers loses the store's answers to watches for 1 to 4 s.
func loseWatchAnswers(ctx context.Context, s *soak, r *rand.Rand) error {
	s.site.Store.LoseWatchAnswers(true)
	_ = timer.Sleep(ctx, time.Duration(1+r.IntN(4))*time.Second)
	s.site.Store.LoseWatchAnswers(false)
	return nil
}

// returnStore makes the store return from a copy that is 0.5 to 10 s old, after it was away for 0.1 to 3 s. The operator and the servers
// write again within 2 s.
func returnStore(ctx context.Context, s *soak, r *rand.Rand) error {
	copied := s.site.Store.Copy()
	_ = timer.Sleep(ctx, 500*time.Millisecond+time.Duration(r.IntN(9500))*time.Millisecond)
	lost := s.site.Store.ReturnFrom(copied, 100*time.Millisecond+time.Duration(r.IntN(2900))*time.Millisecond)
	_ = timer.Sleep(ctx, time.Duration(r.IntN(2000))*time.Millisecond)
	s.site.Store.WriteAgain(lost, copied)
	return nil
}

// forgetUnheard makes all watches hear nothing for a second, after which the store drops its history. A version of the configuration is
// stored 0.1 to 0.8 s into it.
func forgetUnheard(ctx context.Context, s *soak, r *rand.Rand) error {
	presentAsOf := r.IntN(2) == 0
	before := time.Duration(100+r.IntN(700)) * time.Millisecond
	var group errgroup.Group
	group.Go(func() error {
		s.site.Store.CompactDeaf(time.Second, presentAsOf)
		return nil
	})
	_ = timer.Sleep(ctx, before)
	s.site.ChangeConfig(toggleAddedRoute)
	return group.Wait()
}

// withProxyMode puts proxies into a mode for 1 to 3 s. Unless the mode is delayBoth, it resets their connections at
// the end, as happens when a failed link comes back.
func withProxyMode(choose func(*soak, *rand.Rand) []*proxy, mode proxyMode) func(context.Context, *soak, *rand.Rand) error {
	return func(ctx context.Context, s *soak, r *rand.Rand) error {
		chosen := choose(s, r)
		for _, p := range chosen {
			p.setMode(mode)
		}
		_ = timer.Sleep(ctx, time.Duration(1+r.IntN(3))*time.Second)
		for _, p := range chosen {
			p.setMode(forwardAll)
			if mode != delayBoth {
				p.reset()
			}
		}
		return nil
	}
}

// randomServerProxies returns the proxies of about a third of the servers.
func randomServerProxies(s *soak, r *rand.Rand) []*proxy {
	var chosen []*proxy
	for _, id := range s.serverIDs {
		if r.IntN(3) == 0 {
			chosen = append(chosen, s.serverProxies[id])
		}
	}
	return chosen
}

// misbehave makes about half of the servers misbehave in one way, in a fifth of their replies, for 2 s.
func misbehave(ctx context.Context, s *soak, r *rand.Rand) error {
	tricks := []site.ReplyFault{site.Restarted, site.NoStatus, site.CopiedRefusal}
	for trick := site.NoFault + 1; trick <= site.Shedding; trick++ {
		tricks = append(tricks, trick)
	}
	trick := tricks[r.IntN(len(tricks))]
	for _, id := range s.serverIDs {
		if r.IntN(2) == 0 {
			s.site.Server(id).Set(site.WithReplyFault(trick, 0.2))
		}
	}
	_ = timer.Sleep(ctx, 2*time.Second)
	for _, id := range s.serverIDs {
		s.site.Server(id).Set(site.WithReplyFault(site.NoFault, 0))
	}
	return nil
}

// sayServersLeave makes a server say in its replies that it leaves, and starts it anew after 4 s.
func sayServersLeave(ctx context.Context, s *soak, r *rand.Rand) error {
	id := s.randomServer(r)
	s.site.Server(id).Set(site.WithLeaving(true))
	_ = timer.Sleep(ctx, 4*time.Second)
	s.site.Server(id).Set(site.WithLeaving(false))
	s.site.Reboot(id)
	return nil
}

// askForQuiet makes about a third of the servers turn requests away with Retry-After for 2 s.
func askForQuiet(ctx context.Context, s *soak, r *rand.Rand) error {
	for _, id := range s.serverIDs {
		if r.IntN(3) == 0 {
			s.site.Server(id).Set(site.WithRetryAfter("0.5"))
		}
	}
	_ = timer.Sleep(ctx, 2*time.Second)
	for _, id := range s.serverIDs {
		s.site.Server(id).Set(site.WithRetryAfter(""))
	}
	return nil
}

// drainServer drains a server for 6 s, with or without an announcement.
func drainServer(ctx context.Context, s *soak, r *rand.Rand) error {
	id := s.serverIDs[r.IntN(len(s.serverIDs))]
	s.site.Drain(id, r.IntN(2) == 0)
	_ = timer.Sleep(ctx, 6*time.Second)
	s.site.Undrain(id)
	return nil
}

// evacuateDataCentre evacuates a data centre for 7 s.
func evacuateDataCentre(ctx context.Context, s *soak, r *rand.Rand) error {
	centre := site.DataCentres[r.IntN(len(site.DataCentres))]
	s.site.Evacuate(centre)
	_ = timer.Sleep(ctx, 7*time.Second)
	s.site.EndEvacuation(centre)
	return nil
}

// changeTimeout stores a configuration with another timeout of the route to a single service.
func changeTimeout(_ context.Context, s *soak, r *rand.Rand) error {
	s.site.ChangeConfig(func(c *site.Config) { c.Routes[1].TimeoutMS = 1500 + r.IntN(1000) })
	return nil
}

// moveRoute lets the route moving lead to one of its services.
func moveRoute(_ context.Context, s *soak, r *rand.Rand) error {
	s.site.MoveRoute("moving", movingServices[r.IntN(len(movingServices))])
	return nil
}

// changeShardSet stores a configuration in which the search route uses another shard set.
func changeShardSet(_ context.Context, s *soak, r *rand.Rand) error {
	next := slices.Clone(s.shardSets[r.IntN(len(s.shardSets))])
	s.site.ChangeConfig(func(c *site.Config) { c.Routes[0].Shards = next })
	return nil
}

// changeShardSetAndRestart changes the shard set and restarts a host at once, which must not serve by the set before.
func changeShardSetAndRestart(ctx context.Context, s *soak, r *rand.Rand) error {
	if err := changeShardSet(ctx, s, r); err != nil {
		return err
	}
	return s.randomHost(r).restart(syscall.SIGTERM)
}
