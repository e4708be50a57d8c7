package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"magnoliaworks/core/timer"
	"magnoliaworks/stand/site"
)

// fault is one kind of trouble. Run brings it about and ends it.
type fault struct {
	name string
	// planned trouble leaves hosts and store in touch with each other.
	planned bool
	run     func(ctx context.Context, s *soak, random *rand.Rand) error
}

// faults are the troubles that a seed draws from.
func faults() []fault {
	return []fault{
		{name: "term", planned: true, run: func(_ context.Context, s *soak, r *rand.Rand) error { return s.randomHost(r).restart(syscall.SIGTERM) }},
		{name: "kill", run: func(_ context.Context, s *soak, r *rand.Rand) error { return s.randomHost(r).restart(syscall.SIGKILL) }},
		{name: "hang_up", planned: true, run: func(_ context.Context, s *soak, r *rand.Rand) error {
			s.randomHost(r).signal(syscall.SIGHUP)
			return nil
		}},
		{name: "pause", run: pauseHost},
		{name: "store_busy", run: degradeStore(site.Busy)},
		{name: "store_silent", run: degradeStore(site.Silent)},
		{name: "store_forgets", planned: true, run: func(_ context.Context, s *soak, _ *rand.Rand) error { s.site.Objects.Compact(); return nil }},
		{name: "store_cut", run: withProxyMode(func(s *soak, _ *rand.Rand) []*proxy { return []*proxy{s.storeProxy} }, dropFromServer)},
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
		{name: "drain", planned: true, run: drainServer},
		{name: "evacuate", planned: true, run: evacuateDataCentre},
		{name: "configuration", planned: true, run: changeTimeout},
		{name: "repartition", planned: true, run: changeShardSet},
	}
}

func pauseHost(ctx context.Context, s *soak, r *rand.Rand) error {
	h := s.randomHost(r)
	h.faultMu.Lock()
	defer h.faultMu.Unlock()
	h.signal(syscall.SIGSTOP)
	_ = timer.Sleep(ctx, time.Second+rand.N(2*time.Second))
	h.signal(syscall.SIGCONT)
	return nil
}

func degradeStore(m site.Mood) func(context.Context, *soak, *rand.Rand) error {
	return func(ctx context.Context, s *soak, r *rand.Rand) error {
		s.site.Objects.SetMood(m)
		_ = timer.Sleep(ctx, time.Duration(1+r.IntN(4))*time.Second)
		s.site.Objects.SetMood(site.Well)
		return nil
	}
}

// withProxyMode puts proxies into a way for a while; their connections are reset at the end, as a link that comes back does.
func withProxyMode(choose func(*soak, *rand.Rand) []*proxy, w proxyMode) func(context.Context, *soak, *rand.Rand) error {
	return func(ctx context.Context, s *soak, r *rand.Rand) error {
		chosen := choose(s, r)
		for _, p := range chosen {
			p.setMode(w)
		}
		_ = timer.Sleep(ctx, time.Duration(1+r.IntN(3))*time.Second)
		for _, p := range chosen {
			p.setMode(forwardAll)
			if w != delayBoth {
				p.reset()
			}
		}
		return nil
	}
}

func randomServerProxies(s *soak, r *rand.Rand) []*proxy {
	var chosen []*proxy
	for _, id := range s.serverIDs {
		if r.IntN(3) == 0 {
			chosen = append(chosen, s.serverProxies[id])
		}
	}
	return chosen
}

func misbehave(ctx context.Context, s *soak, r *rand.Rand) error {
	trick := site.Trick(1 + r.IntN(int(site.Shedding)))
	for _, id := range s.serverIDs {
		if r.IntN(2) == 0 {
			s.site.Server(id).Set(site.WithTrick(trick, 0.2))
		}
	}
	_ = timer.Sleep(ctx, 2*time.Second)
	for _, id := range s.serverIDs {
		s.site.Server(id).Set(site.WithTrick(site.Honest, 0))
	}
	return nil
}

func drainServer(ctx context.Context, s *soak, r *rand.Rand) error {
	id := s.serverIDs[r.IntN(len(s.serverIDs))]
	s.site.Drain(id, r.IntN(2) == 0)
	_ = timer.Sleep(ctx, 6*time.Second)
	s.site.Return(id)
	return nil
}

func evacuateDataCentre(ctx context.Context, s *soak, r *rand.Rand) error {
	centre := site.Centres[r.IntN(len(site.Centres))]
	s.site.Evacuate(centre)
	_ = timer.Sleep(ctx, 7*time.Second)
	s.site.Reopen(centre)
	return nil
}

func changeTimeout(_ context.Context, s *soak, r *rand.Rand) error {
	s.site.Change(func(c *site.Config) { c.Routes[1].TimeoutMS = 1500 + r.IntN(1000) })
	return nil
}

func changeShardSet(_ context.Context, s *soak, r *rand.Rand) error {
	next := slices.Clone(s.shardSets[r.IntN(len(s.shardSets))])
	s.site.Change(func(c *site.Config) { c.Routes[0].Shards = next })
	return nil
}
