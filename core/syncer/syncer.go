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
	// pullQueue bounds the hints that wait.
	pullQueue = 64
	// isolationTime is the time without contact to any peer or the store after which a host takes no new work.
	isolationTime = 4 * time.Second
	// checkPeriod is the time between two checks for isolation.
	checkPeriod = 250 * time.Millisecond
)

// Peers exchanges configuration with other hosts.
type Peers interface {
	// Pull returns the objects of a peer that are newer than the given versions.
	Pull(ctx context.Context, from member.Member, have []config.ScopeVersion) ([]config.Object, error)
	// Ping tells a peer the digest of this host's configuration.
	Ping(ctx context.Context, to member.Member) error
}

// Syncer keeps the configuration in force on a host up to date.
type Syncer struct {
	config  *config.Current
	table   *member.Table
	peers   Peers
	timer   *timer.Service
	journal *trace.Journal
	watch   *watcher

	hints chan member.Member
	// contact is the time of the last contact in Unix nanoseconds.
	contact atomic.Int64
	// stale is set from a pause of the process until the configuration was refreshed.
	stale atomic.Bool
}

// New returns a syncer that takes in news from the peers and from the store.
func New(current *config.Current, table *member.Table, peers Peers, store Store, t *timer.Service, journal *trace.Journal) *Syncer {
	s := &Syncer{
		config:  current,
		table:   table,
		peers:   peers,
		timer:   t,
		journal: journal,
		hints:   make(chan member.Member, pullQueue),
	}
	s.watch = &watcher{
		store:   store,
		syncer:  s,
		wakened: make(chan struct{}, 1),
	}
	s.RecordContact()
	return s
}

// Run passes news on until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.watch.run(ctx) })
	group.Go(func() error { return s.pullHinted(ctx) })
	group.Go(func() error { return s.tellChanges(ctx) })
	group.Go(func() error { return s.checkContact(ctx) })
	return group.Wait()
}

// RecordContact records that a peer or the store has been reached.
func (s *Syncer) RecordContact() { s.contact.Store(time.Now().UnixNano()) }

// QueuePull hints that a peer has another configuration. Hints beyond the queue are dropped; pings repeat them.
func (s *Syncer) QueuePull(peer member.Member) {
	select {
	case s.hints <- peer:
	default:
	}
}

// RefreshAfterPause is called after the process was paused: no new work is taken until the configuration was refreshed.
func (s *Syncer) RefreshAfterPause() {
	s.stale.Store(true)
	s.journal.Record("spread", "configuration", "refreshing", "the process was paused")
	for _, m := range s.some(fanout) {
		s.QueuePull(m)
	}
	s.watch.wake()
}

// Usable reports whether the host may rely on its configuration, and otherwise why not.
func (s *Syncer) Usable() (reason string, ok bool) {
	switch {
	case s.config.State().Empty():
		return "no configuration received yet", false
	case s.stale.Load():
		return "configuration is being refreshed after a pause", false
	case time.Since(time.Unix(0, s.contact.Load())) > isolationTime:
		return "neither a peer nor the store has been reached for " + isolationTime.String(), false
	}
	return "", true
}

// offer takes in objects that a peer or the store returned.
func (s *Syncer) offer(from string, objects []config.Object) {
	s.RecordContact()
	s.stale.Store(false)
	for _, o := range objects {
		if s.config.Merge(o) {
			s.journal.Record("spread", o.Scope, "in force", "received from "+from)
		}
	}
}

// pullHinted pulls from each peer whose configuration differs.
func (s *Syncer) pullHinted(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case peer := <-s.hints:
			s.pull(ctx, peer)
		}
	}
}

func (s *Syncer) pull(ctx context.Context, peer member.Member) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	objects, err := s.peers.Pull(ctx, peer, s.config.State().Versions())
	if err == nil {
		s.offer("host "+peer.ID, objects)
	}
}

// tellChanges pings some peers after each change, so that they pull it.
func (s *Syncer) tellChanges(ctx context.Context) error {
	told := uint64(0)
	for ctx.Err() == nil {
		changed := s.config.Changed()
		if digest := s.config.State().Digest(); digest != told {
			s.tell(ctx)
			told = digest
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return nil
}

func (s *Syncer) tell(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	group := new(errgroup.Group)
	for _, m := range s.some(fanout) {
		group.Go(func() error {
			_ = s.peers.Ping(ctx, m)
			return nil
		})
	}
	_ = group.Wait()
}

// checkContact records when the host becomes isolated and when that ends.
func (s *Syncer) checkContact(ctx context.Context) error {
	ticks := s.timer.Subscribe(ctx, checkPeriod)
	last := ""
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		}
		reason, ok := s.Usable()
		if reason == last {
			continue
		}
		last = reason
		if ok {
			s.journal.Record("spread", "configuration", "relied on", "contact is back")
			continue
		}
		s.journal.Record("spread", "configuration", "not relied on", reason)
	}
}

// some returns at most n other live members in random order.
func (s *Syncer) some(n int) []member.Member {
	self := s.table.Self().ID
	var others []member.Member
	for _, m := range s.table.View().Available() {
		if m.ID != self {
			others = append(others, m)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(n, len(others))]
}
