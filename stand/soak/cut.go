package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"magnoliaworks/core/timer"
)

const (
	// maxCutTime bounds the time for which a single host is cut off from the store or from other hosts.
	maxCutTime = 9 * time.Second
	// storeFaultShare is the number of faults of the whole store of which one is kept in runs that cut off single hosts, since all hosts
	// are out of touch during the others.
	storeFaultShare = 5
)

// cutsSingleHosts reports whether this run cuts off single hosts, as half of the runs with an odd seed do. Those with an even seed
// have roll-outs, whose checks count the requests of all hosts together.
func (s *soak) cutsSingleHosts() bool {
	return s.config.Seed%2 == 1 && rand.New(rand.NewPCG(s.config.Seed, 91)).IntN(2) == 0
}

// hostCuts returns the faults that cut off single hosts. Hosts remain in touch while they are cut off from other hosts only.
func hostCuts() []fault {
	return []fault{
		{name: "host_store_silent", run: cutFromStore(holdBoth)},
		{name: "host_store_held_up", run: cutFromStore(holdFromServer)},
		{name: "host_store_refused", run: cutFromStore(refuse)},
		{name: "host_store_reset", run: func(_ context.Context, s *soak, r *rand.Rand) error {
			h := s.randomHost(r)
			defer h.touch.disturb()()
			h.storePath.reset()
			return nil
		}},
		{name: "host_store_deaf", run: func(_ context.Context, s *soak, r *rand.Rand) error {
			h := s.randomHost(r)
			defer h.touch.disturb()()
			h.storePath.silence(func() bool { return r.IntN(2) == 0 })
			return nil
		}},
		{name: "host_cut_off", planned: true, run: cutFromHosts},
		{name: "host_cut_off_from_all", run: cutFromAll},
		{name: "host_cut_off_from_all", run: cutFromAll},
		{name: "host_cut_off_and_term", planned: true, run: cutFromHostsAndRestart},
	}
}

// faultKinds returns the faults from which this run draws.
func (s *soak) faultKinds() []fault {
	kinds := faults()
	if s.cutsSingleHosts() {
		kinds = append(kinds, cutFaults()...)
	}
	return kinds
}

// cutFaults returns the faults that only runs which cut off single hosts draw. The others draw by their seeds what they drew before.
func cutFaults() []fault {
	return append(hostCuts(), fault{
		name:      "store_forgets_unheard",
		storeWide: true,
		run:       forgetUnheard,
	})
}

// drawFault draws a fault. In a run that cuts off single hosts, such cuts replace most faults of the whole store.
func (s *soak) drawFault(kinds []fault, random *rand.Rand) fault {
	f := kinds[random.IntN(len(kinds))]
	if s.cutsSingleHosts() && f.storeWide && random.IntN(storeFaultShare) > 0 {
		cuts := cutFaults()
		return cuts[random.IntN(len(cuts))]
	}
	return f
}

// cutTime draws the duration of a cut.
func cutTime(r *rand.Rand) time.Duration { return time.Duration(r.Int64N(int64(maxCutTime))) }

// cutFromStore puts the way of one host to the store into a mode.
func cutFromStore(mode proxyMode) func(context.Context, *soak, *rand.Rand) error {
	return func(ctx context.Context, s *soak, r *rand.Rand) error {
		s.randomHost(r).loseStore(ctx, mode, cutTime(r), r)
		return nil
	}
}

// loseStore puts the way of a host to the store into a mode for some time. At the end, what was held up is let through, the connections
// are reset, or nothing arrives on them any more.
func (h *host) loseStore(ctx context.Context, mode proxyMode, lasts time.Duration, r *rand.Rand) {
	defer h.touch.disturb()()
	h.storePath.setMode(mode)
	if mode == refuse {
		h.storePath.reset()
	}
	_ = timer.Sleep(ctx, lasts)
	switch r.IntN(3) {
	case 0:
		h.storePath.reset()
	case 1:
		h.storePath.silence(func() bool { return true })
	}
	h.storePath.setMode(forwardAll)
}

// cutFromAll cuts one host off from all other hosts, and from the store during the first part of that time.
func cutFromAll(ctx context.Context, s *soak, r *rand.Rand) error {
	h := s.randomHost(r)
	s.holdPeerPaths(h, true)
	modes := []proxyMode{holdBoth, holdFromServer, refuse}
	h.loseStore(ctx, modes[r.IntN(len(modes))], cutTime(r)/3, r)
	_ = timer.Sleep(ctx, cutTime(r))
	s.endPeerCut(h, r)
	return nil
}

// cutFromHosts cuts one host off from all other hosts.
func cutFromHosts(ctx context.Context, s *soak, r *rand.Rand) error {
	h := s.randomHost(r)
	s.holdPeerPaths(h, true)
	_ = timer.Sleep(ctx, cutTime(r))
	s.endPeerCut(h, r)
	return nil
}

// cutFromHostsAndRestart restarts a host while it is cut off from all other hosts.
func cutFromHostsAndRestart(ctx context.Context, s *soak, r *rand.Rand) error {
	h := s.randomHost(r)
	s.holdPeerPaths(h, true)
	defer s.endPeerCut(h, r)
	_ = timer.Sleep(ctx, cutTime(r)/2)
	err := h.restart(syscall.SIGTERM)
	_ = timer.Sleep(ctx, cutTime(r)/2)
	return err
}

// holdPeerPaths holds up all data between a host and the other hosts, or lets it through.
func (s *soak) holdPeerPaths(h *host, hold bool) {
	for _, other := range s.hosts {
		if other == h {
			for _, target := range s.hosts {
				other.peerPaths.holdTarget(target.settings.PeerAddress, hold)
			}
			continue
		}
		other.peerPaths.holdTarget(h.settings.PeerAddress, hold)
	}
}

// endPeerCut ends the cut of a host from the other hosts: what was held up is let through, the connections are reset, or nothing
// arrives on them any more.
func (s *soak) endPeerCut(h *host, r *rand.Rand) {
	how := r.IntN(3)
	for _, other := range s.hosts {
		for _, target := range s.hosts {
			if other != h && target != h {
				continue
			}
			switch how {
			case 0:
				other.peerPaths.resetTarget(target.settings.PeerAddress)
			case 1:
				other.peerPaths.silenceTarget(target.settings.PeerAddress)
			}
		}
	}
	s.holdPeerPaths(h, false)
}
