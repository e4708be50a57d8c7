// Package syncer brings each accepted configuration to every host: chosen hosts watch the store, all pass news on to peers.
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
	// fanout is the number of peers that a host tells at once about news.
	fanout = 8
	// pullTimeout bounds one pull from a peer.
	pullTimeout = time.Second
	// pullQueueSize bounds the hints that wait.
	pullQueueSize = 64
	// isolationTimeout is the time without contact to any peer or the store after which a host takes no new work.
	isolationTimeout = 4 * time.Second
	// isolationCheckPeriod is the time between two checks for isolation.
	isolationCheckPeriod = 250 * time.Millisecond
)

// Peers exchanges configuration with other hosts.
type Peers interface {
	// Pull returns the objects of a peer that are newer than the given versions.
	Pull(ctx context.Context, from member.Member, have []config.ScopeVersion) ([]config.Object, error)
	// Ping tells a peer the digest of this host's configuration.
	Ping(ctx context.Context, to member.Member) error
}

// Syncer keeps a register up to date.
type Syncer struct {
	register *config.Register
	table    *member.Table
	peers    Peers
	timer    *timer.Service
	journal  *trace.Journal
	watcher  *watcher

	pulls chan member.Member
	// lastContact is the time of the last lastContact in Unix nanoseconds.
	lastContact atomic.Int64
	// stale is set from a pause of the process until the configuration was refreshed.
	stale atomic.Bool
}

// New returns a syncer that takes in news from the peers and from the store.
func New(register *config.Register, table *member.Table, peers Peers, store Store, t *timer.Service, journal *trace.Journal) *Syncer {
	s := &Syncer{
		register: register,
		table:    table,
		peers:    peers,
		timer:    t,
		journal:  journal,
		pulls:    make(chan member.Member, pullQueueSize),
	}
	s.watcher = &watcher{
		store:   store,
		syncer:  s,
		wakeups: make(chan struct{}, 1),
	}
	s.RecordContact()
	return s
}

// Run passes news on until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.watcher.run(ctx) })
	group.Go(func() error { return s.pullQueued(ctx) })
	group.Go(func() error { return s.notifyChanges(ctx) })
	group.Go(func() error { return s.checkIsolation(ctx) })
	return group.Wait()
}

// RecordContact records that a peer or the store has been reached.
func (s *Syncer) RecordContact() { s.lastContact.Store(time.Now().UnixNano()) }

// QueuePull hints that a peer has another configuration. Hints beyond the queue are dropped; pings repeat them.
func (s *Syncer) QueuePull(peer member.Member) {
	select {
	case s.pulls <- peer:
	default:
	}
}

// RefreshAfterPause is called after the process was paused: no new work is taken until the configuration was refreshed.
func (s *Syncer) RefreshAfterPause() {
	s.stale.Store(true)
	s.journal.Record("spread", "configuration", "refreshing", "the process was paused")
	for _, m := range s.randomPeers(fanout) {
		s.QueuePull(m)
	}
	s.watcher.wake()
}

// Usable reports whether the host may rely on its configuration, and otherwise why not.
func (s *Syncer) Usable() (reason string, ok bool) {
	switch {
	case s.register.State().Empty():
		return "no configuration received yet", false
	case s.stale.Load():
		return "configuration is being refreshed after a pause", false
	case time.Since(time.Unix(0, s.lastContact.Load())) > isolationTimeout:
		return "neither a peer nor the store has been reached for " + isolationTimeout.String(), false
	}
	return "", true
}

// apply takes in objects that a peer or the store returned.
func (s *Syncer) apply(from string, objects []config.Object) {
	s.RecordContact()
	s.stale.Store(false)
	for _, o := range objects {
		if s.register.Offer(o) {
			s.journal.Record("spread", o.Scope, "in force", "received from "+from)
		}
	}
}

// pullQueued pulls from each peer whose configuration differs.
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

func (s *Syncer) pull(ctx context.Context, peer member.Member) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	objects, err := s.peers.Pull(ctx, peer, s.register.State().Versions())
	if err == nil {
		s.apply("host "+peer.ID, objects)
	}
}

// notifyChanges pings some peers after each change, so that they pull it.
func (s *Syncer) notifyChanges(ctx context.Context) error {
	notified := uint64(0)
	for ctx.Err() == nil {
		changed := s.register.Changed()
		if digest := s.register.State().Digest(); digest != notified {
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

func (s *Syncer) notifyPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
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

// checkIsolation records when the host becomes isolated and when that ends.
func (s *Syncer) checkIsolation(ctx context.Context) error {
	ticks := s.timer.Subscribe(ctx, isolationCheckPeriod)
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
			s.journal.Record("spread", "configuration", "relied on", "contact is back")
			continue
		}
		s.journal.Record("spread", "configuration", "not relied on", reason)
	}
}

// randomPeers returns at most n other live members in random order.
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
