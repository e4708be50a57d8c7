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
		{name: "term", planned: true, run: func(_ context.Context, s *soak, r *rand.Rand) error { return s.any(r).restart(syscall.SIGTERM) }},
		{name: "kill", run: func(_ context.Context, s *soak, r *rand.Rand) error { return s.any(r).restart(syscall.SIGKILL) }},
		{name: "hang_up", planned: true, run: func(_ context.Context, s *soak, r *rand.Rand) error { s.any(r).signal(syscall.SIGHUP); return nil }},
		{name: "pause", run: pause},
		{name: "store_busy", run: mood(site.StoreBusy)},
		{name: "store_silent", run: mood(site.StoreSilent)},
		{name: "store_forgets", planned: true, run: func(_ context.Context, s *soak, _ *rand.Rand) error { s.site.Store.Compact(); return nil }},
		{name: "store_cut", run: passing(func(s *soak, _ *rand.Rand) []*proxy { return []*proxy{s.store} }, mute)},
		{name: "servers_delayed", run: passing(someServers, delayed)},
		{name: "servers_deaf", run: passing(someServers, deaf)},
		{name: "servers_mute", run: passing(someServers, mute)},
		{name: "servers_reset", run: func(_ context.Context, s *soak, r *rand.Rand) error {
			for _, p := range someServers(s, r) {
				p.reset()
			}
			return nil
		}},
		{name: "tricks", planned: true, run: tricks},
		{name: "drain", planned: true, run: drain},
		{name: "evacuate", planned: true, run: evacuate},
		{name: "configuration", planned: true, run: configure},
		{name: "repartition", planned: true, run: repartition},
	}
}

func pause(ctx context.Context, s *soak, r *rand.Rand) error {
	h := s.any(r)
	h.turn.Lock()
	defer h.turn.Unlock()
	h.signal(syscall.SIGSTOP)
	_ = timer.Sleep(ctx, time.Second+rand.N(2*time.Second))
	h.signal(syscall.SIGCONT)
	return nil
}

func mood(m site.StoreState) func(context.Context, *soak, *rand.Rand) error {
	return func(ctx context.Context, s *soak, r *rand.Rand) error {
		s.site.Store.SetState(m)
		_ = timer.Sleep(ctx, time.Duration(1+r.IntN(4))*time.Second)
		s.site.Store.SetState(site.StoreUp)
		return nil
	}
}

// passing puts proxies into a way for a while; their connections are reset at the end, as a link that comes back does.
func passing(choose func(*soak, *rand.Rand) []*proxy, w way) func(context.Context, *soak, *rand.Rand) error {
	return func(ctx context.Context, s *soak, r *rand.Rand) error {
		chosen := choose(s, r)
		for _, p := range chosen {
			p.set(w)
		}
		_ = timer.Sleep(ctx, time.Duration(1+r.IntN(3))*time.Second)
		for _, p := range chosen {
			p.set(open)
			if w != delayed {
				p.reset()
			}
		}
		return nil
	}
}

func someServers(s *soak, r *rand.Rand) []*proxy {
	var chosen []*proxy
	for _, id := range s.ids {
		if r.IntN(3) == 0 {
			chosen = append(chosen, s.proxies[id])
		}
	}
	return chosen
}

func tricks(ctx context.Context, s *soak, r *rand.Rand) error {
	trick := site.ReplyFault(1 + r.IntN(int(site.Shedding)))
	for _, id := range s.ids {
		if r.IntN(2) == 0 {
			s.site.Server(id).Set(site.WithReplyFault(trick, 0.2))
		}
	}
	_ = timer.Sleep(ctx, 2*time.Second)
	for _, id := range s.ids {
		s.site.Server(id).Set(site.WithReplyFault(site.NoFault, 0))
	}
	return nil
}

func drain(ctx context.Context, s *soak, r *rand.Rand) error {
	id := s.ids[r.IntN(len(s.ids))]
	s.site.Drain(id, r.IntN(2) == 0)
	_ = timer.Sleep(ctx, 6*time.Second)
	s.site.Undrain(id)
	return nil
}

func evacuate(ctx context.Context, s *soak, r *rand.Rand) error {
	centre := site.DataCentres[r.IntN(len(site.DataCentres))]
	s.site.Evacuate(centre)
	_ = timer.Sleep(ctx, 7*time.Second)
	s.site.EndEvacuation(centre)
	return nil
}

func configure(_ context.Context, s *soak, r *rand.Rand) error {
	s.site.ChangeConfig(func(c *site.Config) { c.Routes[1].TimeoutMS = 1500 + r.IntN(1000) })
	return nil
}

func repartition(_ context.Context, s *soak, r *rand.Rand) error {
	next := slices.Clone(s.sets[r.IntN(len(s.sets))])
	s.site.ChangeConfig(func(c *site.Config) { c.Routes[0].Shards = next })
	return nil
}
