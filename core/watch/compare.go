package watch

import (
	"context"
	"fmt"
	"math/rand/v2"
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
	// comparePeriod is the time between two rounds of comparisons at the start.
	comparePeriod = 200 * time.Millisecond
	// compareTimeout is the timeout of one comparison.
	compareTimeout = 500 * time.Millisecond
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
	// Newer is set when the host knows newer objects than the other one; Update is full then, and empty otherwise.
	Newer  bool
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

// Compare returns all objects that this host knows if some are newer than the revisions up to which another host knows
// each kind.
func (w *Watcher) Compare(known Revisions) Comparison {
	w.mu.Lock()
	defer w.mu.Unlock()
	comparison := Comparison{
		Compared: w.started,
		Newer:    w.cache.newest.Newer(known),
	}
	if !comparison.Newer {
		return comparison
	}
	comparison.Update = Update{
		Full:      true,
		Objects:   w.cache.since(0),
		Revisions: w.cache.revisions,
		After:     known,
	}
	for kind, objects := range comparison.Update.Objects {
		for i := range objects {
			if objects[i].Revision <= known[kind] {
				objects[i].Value = nil
			}
		}
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
// compared its own objects has answered, or comparedHosts others have, or after compareLimit.
func (w *Watcher) compareAtStart(ctx context.Context) error {
	began, answers, compared := time.Now(), 0, false
	asked := make(map[string]bool)
	for ctx.Err() == nil && !compared && time.Since(began) < compareLimit {
		n, confirmed := w.compareWith(ctx, w.nextCompared(asked))
		answers += n
		compared = w.allRevisionsKnown() && (confirmed || answers >= comparedHosts)
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

// compareWith compares this host's objects with those of other hosts and applies newer ones. It returns the number of
// hosts that answered, and whether one of them has compared its own objects before.
func (w *Watcher) compareWith(ctx context.Context, hosts []member.Member) (answers int, confirmed bool) {
	results := make(chan Comparison, len(hosts))
	var group errgroup.Group
	for _, host := range hosts {
		group.Go(func() error {
			if c, err := w.compare(ctx, host); err == nil {
				results <- c
			}
			return nil
		})
	}
	_ = group.Wait()
	close(results)
	for c := range results {
		answers++
		confirmed = confirmed || c.Compared
	}
	return answers, confirmed
}

// compare compares this host's objects with those of another host, and applies that host's objects if they are newer.
func (w *Watcher) compare(ctx context.Context, host member.Member) (Comparison, error) {
	ctx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	known := w.known()
	c, err := w.peers.Compare(ctx, host, known)
	if err != nil {
		return c, err
	}
	if c.Newer {
		w.journal.Record("follow", "store", "newer state taken over",
			fmt.Sprintf("host %s knows revisions %v, this host %v", host.ID, c.Update.Revisions, known))
		w.applyUpdate(c.Update)
	}
	return c, nil
}

// known returns the revisions up to which this host knows each kind.
func (w *Watcher) known() Revisions {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cache.known()
}
