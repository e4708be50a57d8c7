// Package syncer distributes each accepted configuration to every host: a few elected hosts in each data centre
// watch the store, and every host notifies some peers of a change, which then pull it.
package syncer

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/config"
	"magnoliaworks/core/member"
	"magnoliaworks/core/timer"
	"magnoliaworks/core/trace"
)

const (
	// fanout is the number of peers that a host notifies of a change.
	fanout = 8
	// peerTimeout is the timeout of one pull from a peer, and of one round of notifications to peers.
	peerTimeout = time.Second
	// pullQueueSize is the largest number of queued pulls.
	pullQueueSize = 64
	// isolationTimeout is the time without contact with any peer or the store after which a host accepts no new work.
	isolationTimeout = 4 * time.Second
	// usableCheckPeriod is the time between two checks whether the configuration is usable.
	usableCheckPeriod = 250 * time.Millisecond
)

// Peers exchanges configuration with other hosts.
type Peers interface {
	// Pull returns those objects of a peer that are newer than the versions in have.
	Pull(ctx context.Context, from member.Member, have []config.ScopeVersion) ([]config.Object, error)
	// Ping sends the digest of this host's configuration to a peer, which pulls if its own digest differs.
	Ping(ctx context.Context, to member.Member) error
}

// Syncer keeps the configuration in force on a host up to date.
type Syncer struct {
	config  *config.Current
	table   *member.Table
	peers   Peers
	timer   *timer.Service
	journal *trace.Journal
	watcher *watcher

	// pulls is the queue of peers to pull from.
	pulls chan member.Member
	// lastContact is the time of the last contact with a peer or the store in Unix nanoseconds.
	lastContact atomic.Int64
	// refreshing is set after a pause of the process until a peer or the store has replied.
	refreshing atomic.Bool
}

// New returns a syncer that updates current from peers and from store.
func New(current *config.Current, table *member.Table, peers Peers, store Store, t *timer.Service, journal *trace.Journal) *Syncer {
	s := &Syncer{
		config:  current,
		table:   table,
		peers:   peers,
		timer:   t,
		journal: journal,
		pulls:   make(chan member.Member, pullQueueSize),
	}
	s.watcher = &watcher{
		store:   store,
		syncer:  s,
		wakeups: make(chan struct{}, 1),
	}
	s.RecordContact()
	return s
}

// Run watches the store, pulls from peers and notifies them of changes until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.watcher.run(ctx) })
	group.Go(func() error { return s.pullQueued(ctx) })
	group.Go(func() error { return s.notifyChanges(ctx) })
	group.Go(func() error { return s.checkUsable(ctx) })
	return group.Wait()
}

// RecordContact records that a peer or the store was reached just now.
func (s *Syncer) RecordContact() { s.lastContact.Store(time.Now().UnixNano()) }

// QueuePull queues a pull from a peer whose configuration differs. When the queue is full it drops the request,
// which the next ping exchanged with that peer repeats.
func (s *Syncer) QueuePull(peer member.Member) {
	select {
	case s.pulls <- peer:
	default:
	}
}

// RefreshAfterPause marks the configuration as being refreshed after a pause of the process, queues pulls from
// random peers and wakes the watcher. The host accepts no new work until a peer or the store has replied.
func (s *Syncer) RefreshAfterPause() {
	s.refreshing.Store(true)
	s.journal.Record("spread", "configuration", "refreshing", "the process was paused")
	for _, m := range s.randomPeers(fanout) {
		s.QueuePull(m)
	}
	s.watcher.wake()
}

// Usable reports whether the host may rely on its configuration; if not, reason says why.
func (s *Syncer) Usable() (reason string, ok bool) {
	switch {
	case s.config.State().Empty():
		return "no configuration received yet", false
	case s.refreshing.Load():
		return "configuration is being refreshed after a pause", false
	case time.Since(time.Unix(0, s.lastContact.Load())) > isolationTimeout:
		return "neither a peer nor the store has been reached for " + isolationTimeout.String(), false
	}
	return "", true
}

// apply handles the objects in a reply of a peer or the store: it puts newer ones in force and ends a refresh.
// from names the sender in the journal.
func (s *Syncer) apply(from string, objects []config.Object) {
	s.RecordContact()
	merged := s.config.Merge(objects...)
	s.refreshing.Store(false)
	for _, o := range merged {
		s.journal.Record("spread", o.Scope, "in force", "received from "+from)
	}
}

// pullQueued pulls from each queued peer in turn.
func (s *Syncer) pullQueued(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case peer := <-s.pulls:
			s.pull(ctx, peer)
		}
	}
}

// pull applies the newer objects of a peer. Errors are ignored, since pings repeat the request while digests differ.
func (s *Syncer) pull(ctx context.Context, peer member.Member) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	objects, err := s.peers.Pull(ctx, peer, s.config.State().Versions())
	if err == nil {
		s.apply("host "+peer.ID, objects)
	}
}

// notifyChanges notifies peers after each change of the configuration, so that they pull it.
func (s *Syncer) notifyChanges(ctx context.Context) error {
	notified := uint64(0)
	for ctx.Err() == nil {
		changed := s.config.Changed()
		if digest := s.config.State().Digest(); digest != notified {
			s.notifyPeers(ctx)
			notified = digest
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return nil
}

// notifyPeers pings random peers with the digest of the current configuration.
func (s *Syncer) notifyPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	group := new(errgroup.Group)
	for _, m := range s.randomPeers(fanout) {
		group.Go(func() error {
			_ = s.peers.Ping(ctx, m)
			return nil
		})
	}
	_ = group.Wait()
}

// checkUsable records each change of the result of Usable in the journal.
func (s *Syncer) checkUsable(ctx context.Context) error {
	ticks := s.timer.Subscribe(ctx, usableCheckPeriod)
	lastReason := ""
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		}
		reason, ok := s.Usable()
		if reason == lastReason {
			continue
		}
		lastReason = reason
		if ok {
			s.journal.Record("spread", "configuration", "relied on", "the configuration is usable")
			continue
		}
		s.journal.Record("spread", "configuration", "not relied on", reason)
	}
}

// randomPeers returns at most n available members other than this host, in random order.
func (s *Syncer) randomPeers(n int) []member.Member {
	self := s.table.Self().ID
	var peers []member.Member
	for _, m := range s.table.View().Available() {
		if m.ID != self {
			peers = append(peers, m)
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}
