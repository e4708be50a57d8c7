package quota

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/member"
)

const (
	// checkPeriod is the time between two checks of which reports are due.
	checkPeriod = 250 * time.Millisecond
	// spreadShare is the share of the interval between reports over which hosts spread their reports to a new divider.
	spreadShare = 0.1
	// unsupportedTime is the time for which a host that doesn't divide allowances isn't asked again.
	unsupportedTime = 30 * time.Second
	// maxLoggedPerSecond bounds the refusals that are logged in one second.
	maxLoggedPerSecond = 2
)

// link is this host's relation to the divider of a group.
type link struct {
	// to is the divider; known is false if there is none yet.
	to    member.Member
	known bool
	// sentAt is the time of the last report and dueAt that of the next one; reporting is set while one is in progress.
	sentAt    time.Time
	dueAt     time.Time
	reporting bool
	sequence  uint64
	// moved is set from the choice of another divider until that one has replied.
	moved bool
	// silent is set from a question that the divider has not answered until its next reply.
	silent bool
	// boundUntil is the time until which reports that were sent bind this host.
	boundUntil time.Time
	repliedAt  time.Time
}

// Run reports to the dividers until ctx ends; it returns nil.
func (q *Quota) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	ticks := q.options.Timer.Subscribe(ctx, checkPeriod)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-ticks:
			q.reportWhereDue(ctx, group)
		}
	}
}

// reportWhereDue chooses the dividers anew and starts the reports that are due. It does nothing while the configuration names no
// accounts, or this host can't know the others yet.
func (q *Quota) reportWhereDue(ctx context.Context, tasks *errgroup.Group) {
	config := q.options.State.Load().Config()
	if config == nil || config.AccountCount() == 0 || !q.options.Membership.Settled() {
		return
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	candidates := q.candidates(now)
	for i := range q.links {
		l := &q.links[i]
		q.chooseDivider(i, candidates, now)
		if !l.known || l.reporting || now.Before(l.dueAt) {
			continue
		}
		l.reporting = true
		to, report := l.to, q.newReport(i, now)
		tasks.Go(func() error {
			q.report(ctx, to, report, now)
			return nil
		})
	}
}

// candidates returns the hosts that may divide.
func (q *Quota) candidates(now time.Time) []member.Member {
	var candidates []member.Member
	for _, m := range q.options.Membership.Available() {
		if until, ok := q.unsupported[m.ID]; !ok || now.After(until) {
			candidates = append(candidates, m)
		}
	}
	return candidates
}

// chooseDivider chooses the divider of a group. The first report to another one is due soon, at a time of this host's own.
func (q *Quota) chooseDivider(i int, candidates []member.Member, now time.Time) {
	l := &q.links[i]
	top := member.Rank(candidates, "allowance/"+strconv.Itoa(i), 1)
	if len(top) == 0 {
		l.known = false
		return
	}
	if l.known && l.to.ID == top[0].ID {
		l.to = top[0]
		return
	}
	l.moved, l.silent = l.sequence > 0, false
	l.to, l.known = top[0], true
	spread := spreadShare * float64(renewal(q.options.Membership.Size()))
	l.dueAt = now.Add(time.Duration(rand.Float64() * spread))
}

// newReport returns the next report about a group. What it doesn't state to hold is given up.
func (q *Quota) newReport(i int, now time.Time) Report {
	l := &q.links[i]
	validity := q.validity()
	binding := promise(validity, q.options.Bounds.Window)
	if l.sequence == 0 {
		// An earlier process of this host may have reported until this one started.
		l.boundUntil = q.started.Add(binding)
	}
	l.sequence++
	r := Report{
		Group:    i,
		Host:     q.options.Self.ID,
		Start:    q.startID(),
		Sequence: l.sequence,
		Fresh:    l.repliedAt.IsZero(),
		Moved:    l.moved,
		Promised: max(l.boundUntil.Sub(now), 0),
		Validity: validity,
	}
	l.sentAt, l.boundUntil = now, now.Add(binding)
	config := q.options.State.Load().Config()
	for name, h := range q.holdings {
		if groupOf(name) != i {
			continue
		}
		account, ok := config.Account(name)
		if !ok && len(h.uses)+len(h.tokenUses) == 0 && h.asking == nil {
			delete(q.holdings, name)
			continue
		}
		total := 0
		if ok {
			total = q.options.Bounds.Slots(account)
		}
		h.measure(q.options.Bounds.Window, q.started, now)
		use := Use{
			Account: name,
			Held:    h.state(total, q.options.Bounds.Window, now),
			Spent:   h.spent(q.options.Bounds.Window, now),
			Latest:  h.latest,
			Demand:  h.demand,
		}
		if use.Held > 0 || use.Spent > 0 || use.Demand > 0 {
			r.Uses = append(r.Uses, use)
		}
	}
	return r
}

// report sends a report and takes up the reply. What was leased in a reply that didn't come is not used.
func (q *Quota) report(ctx context.Context, to member.Member, r Report, sent time.Time) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reply, err := q.send(ctx, to, r)
	q.options.Meter.CountEvent("allowance_report")
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	l := &q.links[r.Group]
	l.reporting = false
	if l.to.ID != to.ID {
		// The report to the new divider is due already.
		return
	}
	if err != nil {
		q.options.Meter.CountEvent("allowance_unanswered")
		l.dueAt = now.Add(gatheringInterval)
		if errors.Is(err, ErrUnsupported) {
			q.unsupported[to.ID] = now.Add(unsupportedTime)
		}
		return
	}
	l.moved, l.silent, l.repliedAt = false, false, now
	for _, lease := range reply.Leases {
		q.holding(lease.Account).setLease(lease, r.Validity, sent)
	}
	l.dueAt = sent.Add(renewal(q.options.Membership.Size()))
	if reply.Again > 0 {
		l.dueAt = sent.Add(reply.Again)
	}
}

// errOvertaken is the error of a report that the divider did not take up.
var errOvertaken = errors.New("the divider has no configuration, or a later report")

// send passes a report to a divider, which may be this host.
func (q *Quota) send(ctx context.Context, to member.Member, r Report) (Reply, error) {
	if to.ID != q.options.Self.ID {
		return q.options.Peers.Divide(ctx, to, r)
	}
	reply, ok := q.Divide(r)
	if !ok {
		return Reply{}, errOvertaken
	}
	return reply, nil
}
