package launch

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/canary"
	"magnoliaworks/core/member"
	"magnoliaworks/core/topo"
	"magnoliaworks/core/watch"
)

const (
	// reportPeriod is the time between two reports of a host, and evidenceTimeout the timeout of one call with a report.
	reportPeriod    = 500 * time.Millisecond
	evidenceTimeout = 300 * time.Millisecond
	// deciders is the number of hosts that may decide on an order, one after the other.
	deciders = 3
	// maxWordTime is the time for which a host acts by the word of the deciding one, at most. wordShare is the share of the time within
	// which a bad version has to be left that the word may take; the rest is for finding it bad and for another host that takes over.
	maxWordTime = 1500 * time.Millisecond
	wordShare   = 0.3
)

// Keeper carries out the orders as far as this host has a part in that.
type Keeper struct {
	options Options

	// mu guards the fields below.
	mu sync.Mutex
	// orders holds the orders that have not ended, by service.
	orders map[string]*order
	// faults holds the revisions of the orders that can't be carried out, by name, so that each is logged once.
	faults map[string]uint64
	// lostSince holds the times since which the final states of orders are known to be lost by the store, by name.
	lostSince map[string]time.Time
}

// New returns a keeper that does nothing until Run is called.
func New(options Options) *Keeper {
	return &Keeper{
		options: options,
		orders:  make(map[string]*order),
		faults:  make(map[string]uint64),
	}
}

// Run reports to the deciding hosts, and decides where it is this host's turn, until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return k.each(ctx, k.report, nil) })
	group.Go(func() error { return k.each(ctx, k.tend, k.restore) })
	return group.Wait()
}

// each calls act for all orders that have not ended, and also unless it is nil, side by side, every reportPeriod.
func (k *Keeper) each(ctx context.Context, act func(context.Context, topo.Rollout), also func(context.Context)) error {
	ticks := k.options.Timer.Subscribe(ctx, reportPeriod)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		}
		var group errgroup.Group
		if also != nil {
			group.Go(func() error {
				also(ctx)
				return nil
			})
		}
		for _, r := range k.open() {
			group.Go(func() error {
				act(ctx, r)
				return nil
			})
		}
		_ = group.Wait()
	}
}

// Counts returns the number of orders that this host knows and that have not ended, and that of those that can't be carried out.
func (k *Keeper) Counts() (open, invalid int) {
	state := k.options.State.Load()
	for _, r := range state.Rollouts() {
		switch {
		case faultOf(state, r) != "":
			invalid++
		case !r.State.Ended():
			open++
		}
	}
	return open, invalid
}

// open returns the orders that can be carried out and have not ended, and drops what is kept of others.
func (k *Keeper) open() []topo.Rollout {
	state := k.options.State.Load()
	k.mu.Lock()
	defer k.mu.Unlock()
	var open []topo.Rollout
	for service, r := range state.Rollouts() {
		if fault := faultOf(state, r); fault != "" {
			k.recordFault(r, fault)
			continue
		}
		if r.State.Ended() {
			continue
		}
		if o, ok := k.orders[service]; ok && o.isFor(r) {
			o.setDuration(r.Duration)
		} else {
			k.orders[service] = newOrder(r, k.options.Share())
		}
		open = append(open, r)
	}
	for service := range k.orders {
		if !slices.ContainsFunc(open, func(r topo.Rollout) bool { return r.Service == service }) {
			delete(k.orders, service)
		}
	}
	return open
}

// faultOf returns why an order can't be carried out, or "".
func faultOf(state *topo.State, r topo.Rollout) string {
	config := state.Config()
	if r.Fault != "" || config == nil {
		return r.Fault
	}
	if _, ok := config.Services[r.Service]; !ok {
		return "no service " + r.Service + " is configured"
	}
	return ""
}

// recordFault logs and counts an order that can't be carried out, once for each of its revisions. The caller holds mu.
func (k *Keeper) recordFault(r topo.Rollout, fault string) {
	if k.faults[r.Name] == r.Revision {
		return
	}
	k.faults[r.Name] = r.Revision
	k.options.CountEvent("rollout_invalid")
	k.options.Journal.Record("launch", r.Name, "order ignored", fault)
}

// report sends this host's evidence to the first of the ranked hosts that decides, and acts by its word.
func (k *Keeper) report(ctx context.Context, r topo.Rollout) {
	report := Report{
		Host:     k.options.Self,
		Order:    r.Name,
		Revision: r.Revision,
		Version:  r.Version,
		Age:      time.Since(r.SeenAt),
		Rows:     k.options.Traffic.Evidence(r.Service),
	}
	k.withOrder(r, func(o *order) { report.Condemned = o.condemned })
	for rank, m := range member.Rank(k.options.Membership.Available(), "rollout/"+r.Service, deciders) {
		var word Word
		if m.ID == k.options.Self {
			k.withOrder(r, func(o *order) { o.recordTurn(true, rank, time.Now()) })
			word = k.Receive(report)
		} else {
			word = k.ask(ctx, m, report)
		}
		if k.act(r, m, word) {
			if m.ID != k.options.Self {
				k.withOrder(r, func(o *order) { o.recordTurn(false, rank, time.Now()) })
			}
			return
		}
	}
	k.withOrder(r, func(o *order) {
		if o.silent || time.Since(o.wordAt) <= k.wordTime() {
			return
		}
		o.silent = true
		k.options.CountEvent("rollout_no_word")
		k.options.Journal.Record("launch", r.Service, "no host decides", "nothing is sent to version "+r.Version)
	})
}

// ask sends a report to another host; without an answer the word is empty.
func (k *Keeper) ask(ctx context.Context, to member.Member, report Report) Word {
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	word, err := k.options.Peers.Evidence(ctx, to, report)
	if err != nil {
		return Word{}
	}
	return word
}

// act takes over what a host has answered. It reports whether that host decides.
func (k *Keeper) act(r topo.Rollout, from member.Member, word Word) bool {
	if word.Order.Name != "" {
		k.options.Orders.Learn(watch.Rollouts, word.Order)
	}
	part := word.Part
	k.withOrder(r, func(o *order) {
		o.condemn(word.Condemned)
		if o.condemned != "" {
			part = 0
		}
		if !word.Decides {
			return
		}
		o.wordAt = time.Now()
		if o.silent {
			o.silent = false
			k.options.Journal.Record("launch", r.Service, "host decides again", "host "+from.ID)
		}
	})
	if word.Decides {
		k.options.Traffic.Steer(r.Service, r.Version, part, time.Now().Add(k.wordTime()))
	}
	return word.Decides
}

// wordTime returns the time for which this host acts by the word of the deciding one.
func (k *Keeper) wordTime() time.Duration {
	limit := k.options.RollbackTime()
	if limit <= 0 {
		return maxWordTime
	}
	return min(maxWordTime, time.Duration(wordShare*float64(limit)))
}

// Receive counts the report of a host, this one included, and returns the word for it.
func (k *Keeper) Receive(report Report) Word {
	now, state := time.Now(), k.options.State.Load()
	k.mu.Lock()
	defer k.mu.Unlock()
	var word Word
	for _, o := range k.orders {
		// A host that lags behind may know an earlier order of that name.
		if o.rollout.Name != report.Order || o.rollout.Version != report.Version || report.Revision < o.rollout.Created {
			continue
		}
		o.recordAge(report.Age, now)
		o.condemn(report.Condemned)
		o.reportedAt[report.Host] = now
		o.trial.Add(report.Host, report.Rows, o.ageAt(now))
		word.Decides, word.Condemned = o.decides(now), o.condemned
		if word.Decides {
			decision := o.decide(now, state)
			word.Part, word.Condemned = decision.Part, o.condemned
		}
	}
	known, ok := k.options.Orders.Object(watch.Rollouts, report.Order)
	if ok && (known.Revision > report.Revision || (known.Revision == report.Revision && isKept(state, report))) {
		word.Order = known
	}
	return word
}

// isKept reports whether this host knows a state of the reported order that the store has lost.
func isKept(state *topo.State, report Report) bool {
	for _, r := range state.Rollouts() {
		if r.Name == report.Order && r.Unwritten {
			return true
		}
	}
	return false
}

// withOrder calls use with what is kept of a roll-out, if anything is, under mu.
func (k *Keeper) withOrder(r topo.Rollout, use func(o *order)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if o, ok := k.orders[r.Service]; ok && o.isFor(r) {
		use(o)
	}
}

// decisionText returns a decision for logs.
func decisionText(d canary.Decision, age time.Duration) string {
	return fmt.Sprintf("part %.3f after %.1f s: %s", d.Part, age.Seconds(), d.Cause)
}
