package watch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/member"
	"magnoliaworks/core/timer"
)

const (
	// comparedHosts is the number of hosts whose answers a starting host waits for, unless a host answers that has
	// compared its own objects before.
	comparedHosts = 3
	// compareLimit is the longest time for which a starting host waits for those answers.
	compareLimit = 2 * time.Second
	// comparePeriod is the time between two rounds of comparisons at the start, and between two looks for other hosts while
	// none is known.
	comparePeriod = 50 * time.Millisecond
	// compareTimeout is the timeout of one comparison, and fetchTimeout that of the transfer of a host's objects.
	compareTimeout = 300 * time.Millisecond
	fetchTimeout   = time.Second
	// maxLag is the time within which a feed or a watch brings what another host has announced.
	maxLag = time.Second
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

// Comparison is a host's answer to another one that has stated what it knows.
type Comparison struct {
	// Compared is set when the host has compared its own objects with those of other hosts since its start.
	Compared bool
	// Newest holds the revisions of the newest objects that the host knows.
	Newest Revisions
	// Update is full, or empty if it was not asked for or the host knows nothing newer.
	Update Update
}

// lag is what another host has announced and this one does not know yet.
type lag struct {
	host   member.Member
	newest Revisions
	since  time.Time
}

// Newest returns the revisions of the newest objects that this host knows, removals included.
func (w *Watcher) Newest() Revisions {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cache.newest
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
	}
	return comparison
}

// RecordAnnouncement records the revisions of the newest objects that another host has announced. If no feed or watch
// brings them within maxLag, this host compares its objects with those of the other host.
func (w *Watcher) RecordAnnouncement(host member.Member, newest Revisions) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lag != nil || !w.started || !newest.Newer(w.cache.known()) {
		return
	}
	w.lag = &lag{
		host:   host,
		newest: newest,
		since:  time.Now(),
	}
}

// overdueLag returns the lag that has lasted for longer than maxLag, and forgets one that is over or overdue.
func (w *Watcher) overdueLag(now time.Time) (overdue lag, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lag == nil {
		return lag{}, false
	}
	current, behind := *w.lag, w.lag.newest.Newer(w.cache.known())
	ok = behind && now.Sub(current.since) > maxLag
	if ok || !behind {
		w.lag = nil
	}
	return current, ok
}

// compareAtStart lets a starting host take over what other hosts know before its own state is published: a stale list or
// the feed of a host that has lost the store may be older than what the fleet has in force. It ends when a host that has
// compared its own objects has answered, or comparedHosts others have, or after compareLimit. While no such host has
// answered, all may have started together and have nothing in force: each then lists the store, and the watchers bring what
// the lists lack. To fetch that from each other would take longer than a list.
func (w *Watcher) compareAtStart(ctx context.Context) error {
	began, answers, compared := time.Now(), 0, false
	asked := make(map[string]bool)
	for ctx.Err() == nil && !compared && time.Since(began) < compareLimit {
		round := w.compareWith(ctx, w.nextCompared(asked))
		answers += round.answers
		if round.answers > 0 && round.newest == (Revisions{}) {
			w.listEarly.Store(true)
		}
		if round.compared && round.newest.Newer(w.known()) {
			compared = w.fetch(ctx, round.source) && w.allRevisionsKnown()
		} else {
			compared = w.allRevisionsKnown() && (round.compared || answers >= comparedHosts)
		}
		if !compared {
			_ = timer.Sleep(ctx, comparePeriod)
		}
	}
	w.start(fmt.Sprintf("%d hosts answered within %d ms", answers, time.Since(began).Milliseconds()))
	return nil
}

// nextCompared returns up to comparedHosts available hosts that were not asked before, those of this data centre first,
// and adds them to asked. Once all were asked it starts over.
func (w *Watcher) nextCompared(asked map[string]bool) []member.Member {
	hosts := w.membership.Others()
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	var next []member.Member
	for _, local := range []bool{true, false} {
		for _, m := range hosts {
			if (m.DataCentre == w.dataCentre) == local && !asked[m.ID] && len(next) < comparedHosts {
				asked[m.ID] = true
				next = append(next, m)
			}
		}
	}
	if len(next) == 0 {
		clear(asked)
	}
	return next
}

// round is the result of comparisons with several hosts.
type round struct {
	// answers is the number of hosts that answered; compared is set when one of them has compared its own objects before.
	answers  int
	compared bool
	// newest holds the newest revisions that they know, and source is the host that knows the newest configuration, or
	// among those that know the same one the newest servers.
	newest Revisions
	source member.Member
}

// compareWith compares what this host knows with what others know. Their objects are not transferred, since all of them may
// have started with this host and know the same.
func (w *Watcher) compareWith(ctx context.Context, hosts []member.Member) round {
	type answer struct {
		host       member.Member
		comparison Comparison
	}
	answers := make(chan answer, len(hosts))
	var group errgroup.Group
	for _, host := range hosts {
		group.Go(func() error {
			callCtx, cancel := context.WithTimeout(ctx, compareTimeout)
			defer cancel()
			if c, err := w.peers.Compare(callCtx, host, w.known(), false); err == nil {
				answers <- answer{
					host:       host,
					comparison: c,
				}
			}
			return nil
		})
	}
	_ = group.Wait()
	close(answers)
	var r round
	var best Revisions
	for a := range answers {
		r.answers++
		r.compared = r.compared || a.comparison.Compared
		for kind, revision := range a.comparison.Newest {
			r.newest[kind] = max(r.newest[kind], revision)
		}
		if slices.Compare(a.comparison.Newest[:], best[:]) > 0 {
			best, r.source = a.comparison.Newest, a.host
		}
	}
	return r
}

// fetch applies the objects of another host that are newer than this host's. It reports whether the host answered.
func (w *Watcher) fetch(ctx context.Context, host member.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	known := w.known()
	c, err := w.peers.Compare(ctx, host, known, true)
	if err != nil {
		w.journal.Record("follow", "store", "newer state not fetched", err.Error())
		return false
	}
	if c.Update.Full {
		w.journal.Record("follow", "store", "newer state taken over",
			fmt.Sprintf("host %s knows revisions %v, this host %v", host.ID, c.Update.Revisions, known))
		w.applyUpdate(c.Update)
	}
	return true
}

// known returns the revisions up to which this host knows each kind.
func (w *Watcher) known() Revisions {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cache.known()
}
