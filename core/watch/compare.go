package watch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/member"
)

const (
	// comparedHosts is the number of hosts whose answers a starting host waits for, unless a host answers that has
	// compared its own objects before.
	comparedHosts = 3
	// compareLimit is the longest time for which a starting host that has listed the store waits for those answers, and
	// unlistedLimit that for which it waits while the store can't be listed.
	compareLimit  = 120 * time.Millisecond
	unlistedLimit = 2 * time.Second
	// comparePeriod is the time after which a starting host asks further hosts, and lookPeriod that after which it looks for
	// hosts again while it knows none to ask.
	comparePeriod = 100 * time.Millisecond
	lookPeriod    = 10 * time.Millisecond
	// compareTimeout is the timeout of one comparison, and fetchTimeout that of the transfer of a host's objects.
	compareTimeout = 300 * time.Millisecond
	fetchTimeout   = time.Second
	// maxLag is the time within which a feed or a watch brings what another host has announced; it is longer than watchPause.
	maxLag = 600 * time.Millisecond
)

// Revisions holds a revision of the store for each kind, and 0 for a kind of which nothing is known.
type Revisions [kindCount]uint64

// Newer reports whether r is newer than other for any kind.
func (r Revisions) Newer(other Revisions) bool {
	for kind := range r {
		if r[kind] > other[kind] {
			return true
		}
	}
	return false
}

// String returns the ordinal of each kind for the journal.
func (r Revisions) String() string {
	texts := make([]string, len(r))
	for kind, ordinal := range r {
		texts[kind] = Kind(kind).String() + " at " + ordinalText(ordinal)
	}
	return strings.Join(texts, ", ")
}

// Comparison is a host's answer to another one that has stated what it knows.
type Comparison struct {
	// Compared is set when the host has compared its own objects with those of other hosts since its start.
	Compared bool
	// Newest holds the revisions of the newest objects that the host knows.
	Newest Revisions
	// Update is full, or holds only the orders whose states the store has lost, if it was not asked for or the host knows nothing newer.
	Update Update
}

// lag is what another host has announced and this one does not know yet.
type lag struct {
	host   member.Member
	newest Revisions
	since  time.Time
}

// Compare returns what this host knows to a host that knows each kind up to a revision. With fetch it returns all objects if
// some are newer than that.
func (w *Watcher) Compare(known Revisions, fetch bool) Comparison {
	w.mu.Lock()
	defer w.mu.Unlock()
	comparison := Comparison{
		Compared: w.started,
		Newest:   w.cache.newest,
	}
	if fetch && w.cache.newest.Newer(known) {
		comparison.Update = w.fullUpdate(known)
	} else {
		comparison.Update.Objects[Rollouts] = w.keptOrders()
	}
	return comparison
}

// lacks reports whether another host knows newer objects. Orders that Learn has brought don't count as lacking, although the watch may
// still lack earlier ones: while the store is away every host would fetch them again and again. The caller holds mu.
func (w *Watcher) lacks(newest Revisions) bool {
	known := w.cache.revisions
	known[Rollouts] = max(known[Rollouts], w.cache.newest[Rollouts])
	return newest.Newer(known)
}

// overdueLag returns the lag that has lasted for longer than maxLag, and forgets one that is over or overdue.
func (w *Watcher) overdueLag(now time.Time) (overdue lag, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lag == nil {
		return lag{}, false
	}
	current, behind := *w.lag, w.lacks(w.lag.newest)
	ok = behind && now.Sub(current.since) > maxLag
	if ok || !behind {
		w.lag = nil
	}
	if ok {
		w.journal.Record("follow", "store", "behind",
			fmt.Sprintf("host %s has announced %s, this host knows %s", current.host.ID, current.newest, w.cache.revisions))
	}
	return current, ok
}

// restartWatchesBehind starts the watches again that have not brought what another host knows.
func (w *Watcher) restartWatchesBehind(newest Revisions) {
	known := w.known()
	for kind := range kindCount {
		if known[kind] > 0 && newest[kind] > known[kind] {
			w.cancelWatch(kind)
		}
	}
}

// compareAtStart lets a starting host take over what other hosts know before its own state is published: a stale list or
// the feed of a host that has lost the store may be older than what the fleet has in force. It ends when a host that has
// compared its own objects has answered, or comparedHosts others have, or no more than compareLimit after the store was
// listed. While no such host has answered, all may have started together and have nothing in force: each then lists the
// store, and the watchers bring what the lists lack. To fetch that from each other would take longer than a list.
func (w *Watcher) compareAtStart(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := startComparison{
		watcher: w,
		asked:   make(map[string]bool),
		answers: make(chan answer),
		began:   time.Now(),
	}
	var group errgroup.Group
	for ctx.Err() == nil && !s.done(time.Now()) {
		hosts := s.next()
		for _, host := range hosts {
			group.Go(func() error {
				s.ask(ctx, host)
				return nil
			})
		}
		if len(hosts) > 0 {
			s.handleAnswers(ctx, comparePeriod)
		} else {
			s.handleAnswers(ctx, lookPeriod)
		}
	}
	w.start(fmt.Sprintf("%d hosts answered within %d ms", s.answered, time.Since(s.began).Milliseconds()))
	cancel()
	return group.Wait()
}

// startComparison is the comparison of a starting host with others. One goroutine owns it; others send to answers.
type startComparison struct {
	watcher *Watcher
	asked   map[string]bool
	answers chan answer
	began   time.Time
	// listedAt is the time at which all kinds were listed or known from other hosts; zero until then.
	listedAt time.Time
	// answered is the number of hosts that answered, and current is set when this host knows what one of them knows that has
	// compared its own objects.
	answered int
	current  bool
}

// answer is the answer of a host.
type answer struct {
	host       member.Member
	comparison Comparison
}

// done reports whether the host may publish its state. A host that has listed the store and knows no other one waits for none
// after compareLimit: it has started before the others.
func (s *startComparison) done(now time.Time) bool {
	switch {
	case !s.watcher.allKnown():
		return now.Sub(s.began) > unlistedLimit
	case s.listedAt.IsZero():
		s.listedAt = now
	}
	if len(s.asked) == 0 {
		return now.Sub(s.began) > compareLimit
	}
	return s.current || s.answered >= comparedHosts || now.Sub(s.listedAt) > compareLimit
}

// ask sends the comparison to a host and passes on its answer. Objects are not transferred, since all hosts may have started
// with this one and know the same.
func (s *startComparison) ask(ctx context.Context, host member.Member) {
	callCtx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	c, err := s.watcher.peers.Compare(callCtx, host, s.watcher.known(), false)
	if err != nil {
		return
	}
	select {
	case s.answers <- answer{host: host, comparison: c}:
	case <-ctx.Done():
	}
}

// handleAnswers handles answers for a period, or until the host may publish its state.
func (s *startComparison) handleAnswers(ctx context.Context, period time.Duration) {
	wait := time.NewTimer(period)
	defer wait.Stop()
	for !s.done(time.Now()) {
		select {
		case <-ctx.Done():
			return
		case <-wait.C:
			return
		case a := <-s.answers:
			s.handle(ctx, a)
		}
	}
}

// handle takes over the objects of a host that has compared its own and knows newer ones.
func (s *startComparison) handle(ctx context.Context, a answer) {
	s.answered++
	s.watcher.applyKept(a.comparison.Update)
	switch {
	case a.comparison.Compared && a.comparison.Newest.Newer(s.watcher.known()):
		s.current = s.watcher.fetch(ctx, a.host)
	case a.comparison.Compared:
		s.current = true
	case a.comparison.Newest == (Revisions{}):
		s.watcher.listEarly.Store(true)
	}
}

// next returns up to comparedHosts available hosts that were not asked before, those of this data centre first, and adds
// them to asked. Once all were asked it starts over.
func (s *startComparison) next() []member.Member {
	hosts := s.watcher.membership.Others()
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	var next []member.Member
	for _, local := range []bool{true, false} {
		for _, m := range hosts {
			if (m.DataCentre == s.watcher.dataCentre) == local && !s.asked[m.ID] && len(next) < comparedHosts {
				s.asked[m.ID] = true
				next = append(next, m)
			}
		}
	}
	if len(next) == 0 && len(hosts) > 0 {
		clear(s.asked)
		return s.next()
	}
	return next
}

// fetch applies the objects of another host that are newer than this host's. It reports whether the host answered.
func (w *Watcher) fetch(ctx context.Context, host member.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	known := w.proven()
	c, err := w.peers.Compare(ctx, host, known, true)
	if err != nil {
		w.journal.Record("follow", "store", "newer state not fetched", err.Error())
		return false
	}
	if c.Update.Full {
		w.journal.Record("follow", "store", "newer state taken over",
			fmt.Sprintf("host %s knows %s, this host %s", host.ID, c.Update.Revisions, known))
		w.applyUpdate(c.Update)
	}
	return true
}

// known returns the revisions up to which this host knows each kind; 0 while a list is needed. Single objects may be newer:
// a list of several pages has newer ones on its later pages, and lacks changes on its first.
func (w *Watcher) known() Revisions {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cache.revisions
}
