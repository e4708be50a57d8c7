package magnoliaworks

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/timer"
	"magnoliaworks/core/watch"
	"magnoliaworks/io/peer"
)

const (
	// joinPeriod is the time between two attempts to reach hosts named in the settings or in the platform's list.
	joinPeriod = time.Second
	// initialJoinPeriod replaces it for the first initialJoinAttempts attempts, while a starting host knows no other available host.
	initialJoinPeriod   = 200 * time.Millisecond
	initialJoinAttempts = 10
	// maxRejoinPeriod is the longest time between two attempts while other hosts are available. It grows from initialJoinPeriod, since
	// a host that has no peers of its own may start a little after those that have its address.
	maxRejoinPeriod = 10 * time.Second
	// maxJoinTargets is the largest number of unknown hosts that one attempt pings.
	maxJoinTargets = 3
)

// join looks for other hosts: at short intervals at the start, every joinPeriod later while no other host is available, and at
// growing intervals up to maxRejoinPeriod while others are.
func (h *Host) join(ctx context.Context) error {
	for range initialJoinAttempts {
		h.joinUnknown(ctx)
		if len(h.table.View().Available()) > 1 || timer.Sleep(ctx, initialJoinPeriod) != nil {
			break
		}
	}
	if peers := h.otherPeers(); len(peers) > 0 && len(h.table.View().Members()) < 2 {
		h.log.Named("member").Warn("no peer reached: the size of the fleet is assumed", "peers", peers,
			"assumed_hosts", h.settings.Platform.AssumedHosts)
	}
	pace := newJoinPace(time.Now())
	ticks := h.timer.Subscribe(ctx, initialJoinPeriod)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		}
		if pace.due(time.Now(), len(h.table.View().Available()) < 2) {
			h.joinUnknown(ctx)
		}
	}
}

// joinUnknown pings a few hosts of the settings and of the platform's list that are not available in the view. Gossip
// then adds the others to the view.
func (h *Host) joinUnknown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	group := new(errgroup.Group)
	for _, address := range h.unknownAddresses() {
		group.Go(func() error {
			if err := h.peers.Join(ctx, address); err != nil {
				h.log.Named("member").Debug("host not reached", "address", address, "error", err)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// otherPeers returns the peers of the settings in force other than this host.
func (h *Host) otherPeers() []string {
	return slices.DeleteFunc(slices.Clone(h.inForce.Load().Peers), func(address string) bool { return address == h.settings.PeerAddress })
}

// unknownAddresses returns up to maxJoinTargets addresses, at random, of hosts that are not available in the view. It
// reads the platform's list only while no other host is available.
func (h *Host) unknownAddresses() []string {
	known := map[string]bool{h.settings.PeerAddress: true}
	for _, m := range h.table.View().Available() {
		known[m.Address] = true
	}
	candidates := append([]string{}, h.inForce.Load().Peers...)
	if len(known) == 1 && h.settings.HostsAddress != "" {
		candidates = append(candidates, h.listedAddresses()...)
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	var unknown []string
	for _, address := range candidates {
		if !known[address] && len(unknown) < maxJoinTargets {
			known[address] = true
			unknown = append(unknown, address)
		}
	}
	return unknown
}

// listedAddresses returns the peer addresses in the platform's list. The list may be out of date: its hosts may be gone,
// and others may be missing.
func (h *Host) listedAddresses() []string {
	list, err := h.hostList.List()
	if err != nil {
		h.log.Named("member").Debug("list of hosts not read", "error", err)
		return nil
	}
	addresses := make([]string, 0, len(list))
	for _, entry := range list {
		addresses = append(addresses, entry.Address)
	}
	return addresses
}

// hostFinder implements beacon.Fleet.
type hostFinder struct {
	*membership
	watcher *watch.Watcher
	peers   *peer.Client
}

// ChecksStore implements beacon.Fleet. The host that is to look may lack the store, so that one which checks the store in its place looks too.
func (f hostFinder) ChecksStore() bool { return f.membership.ChecksStore() || f.watcher.StandsIn() }

// Join implements beacon.Fleet.
func (f hostFinder) Join(ctx context.Context, address string) error {
	return f.peers.Join(ctx, address)
}
