package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"magnoliaworks/core/limit"
	"magnoliaworks/core/member"
	"magnoliaworks/core/timer"
	"magnoliaworks/core/topo"
	"magnoliaworks/core/trace"
)

const (
	// tokenTimeout is the time for which a request waits for a token, and reportTimeout that for which a host waits for the
	// reply to a report.
	tokenTimeout  = 150 * time.Millisecond
	reportTimeout = 500 * time.Millisecond
	// retrySpread is the share by which the time of a refused request's return is longer at most, at random, so that callers
	// that were refused together don't return together.
	retrySpread = 0.5
	// refusedWeight is the part of a refused request that counts as its return.
	refusedWeight = 0.5
	// shortInterval is the least time after which a refused request is to return.
	shortInterval = 300 * time.Millisecond
)

// Options are the dependencies and settings of a Quota.
type Options struct {
	Bounds     Bounds
	State      *topo.Current
	Membership Membership
	Peers      Peers
	Timer      *timer.Service
	Journal    *trace.Journal
	Meter      Meter
	// Self is the record of this host; its ID and data centre count.
	Self member.Member
}

// Membership reports which hosts there are.
type Membership interface {
	// Available returns the hosts that accept new work.
	Available() []member.Member
	// Size returns the number of hosts that may hold leases, this one included. Until Settled reports true it is a guess that is
	// rather too large.
	Size() int
	Settled() bool
}

// Peers passes reports to other hosts.
type Peers interface {
	// Divide passes a report to the divider of a group. The error wraps ErrUnsupported if the host doesn't divide allowances.
	Divide(ctx context.Context, to member.Member, r Report) (Reply, error)
}

// Meter records the metrics of a Quota.
type Meter interface {
	// CountEvent counts an event by name.
	CountEvent(name string)
}

// Quota holds this host's part of the allowances, and divides those of the groups that fall to it. It implements
// relay.Allowances and is safe for concurrent use.
type Quota struct {
	options Options
	divider *Divider
	started time.Time

	mu       sync.Mutex
	holdings map[string]*holding
	links    [GroupCount]link
	// unsupported holds the hosts that don't divide allowances, and until when they aren't asked again.
	unsupported map[string]time.Time
	// pausedLenders holds the hosts that didn't answer when they were asked to lend, and until when they aren't asked again.
	pausedLenders map[string]time.Time
	logRate       limit.Rate
}

// New returns a Quota that holds nothing.
func New(options Options) *Quota {
	return &Quota{
		options:     options,
		divider:     NewDivider(options.Bounds),
		started:     time.Now(),
		holdings:    make(map[string]*holding),
		unsupported: make(map[string]time.Time),

		pausedLenders: make(map[string]time.Time),
	}
}

// Take implements relay.Allowances. It waits for tokenTimeout at most.
func (q *Quota) Take(ctx context.Context, account topo.Account) (retryAfter time.Duration, ok bool) {
	if account.Rate <= 0 {
		return 0, true
	}
	ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
	defer cancel()
	total := q.options.Bounds.Slots(account)
	q.mu.Lock()
	defer q.mu.Unlock()
	h := q.holding(account.Name)
	h.came++
	for waited := false; ; waited = true {
		now := time.Now()
		if h.admit(total, q.options.Bounds.Window, now) {
			q.countAdmitted(waited)
			return 0, true
		}
		if now.Before(h.shortUntil) || ctx.Err() != nil {
			return q.refuse(account, h, total, now), false
		}
		q.awaitTokens(ctx, account, h)
	}
}

// countAdmitted counts an admitted request by whether it has waited for a token.
func (q *Quota) countAdmitted(waited bool) {
	if waited {
		q.options.Meter.CountEvent("allowance_waited")
	}
}

// refuse counts and logs a request beyond the allowance, and returns the time after which it may return.
func (q *Quota) refuse(account topo.Account, h *holding, total int, now time.Time) time.Duration {
	q.options.Meter.CountEvent("allowance_refused")
	h.came -= refusedWeight
	q.logRefusal(account, h, total, now)
	after := h.retryAfter(total, q.options.Bounds.Window, now)
	return after + time.Duration(retrySpread*rand.Float64()*float64(after))
}

// awaitTokens asks the account's divider for tokens, or waits for the reply to a question in progress. It releases the lock
// meanwhile.
func (q *Quota) awaitTokens(ctx context.Context, account topo.Account, h *holding) {
	if reply := h.asking; reply != nil {
		h.waiting++
		q.mu.Unlock()
		select {
		case <-reply:
		case <-ctx.Done():
		}
		q.mu.Lock()
		h.waiting--
		return
	}
	reply := make(chan struct{})
	h.asking = reply
	wanted, asked := 1+h.waiting, time.Now()
	link := q.links[groupOf(account.Name)]
	q.mu.Unlock()
	lease := q.askForTokens(ctx, account.Name, wanted, link)
	q.mu.Lock()
	h.addTokens(lease, asked, time.Now())
	h.asking = nil
	close(reply)
}

// Return implements relay.Allowances.
func (q *Quota) Return(account topo.Account) {
	if account.Rate <= 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.holding(account.Name).giveBack(q.options.Bounds.Window, time.Now())
}

// Divide handles a report of a host about the accounts of a group that fall to this host. ok is false if it has no configuration,
// or a later report has overtaken this one.
func (q *Quota) Divide(r Report) (reply Reply, ok bool) {
	accounts, ok := q.accounts(r.Group)
	if !ok {
		return Reply{}, false
	}
	if r.Lend {
		return q.lend(r, accounts), true
	}
	witness := ""
	q.mu.Lock()
	if l := &q.links[r.Group]; l.known && l.to.ID == q.options.Self.ID && !l.moved {
		witness = q.options.Self.ID
	}
	q.mu.Unlock()
	return q.divider.Divide(r, accounts, q.options.Membership.Size(), witness, time.Now())
}

// accounts returns the limited accounts of a group by the configuration in force; ok is false if there is none.
func (q *Quota) accounts(group int) (accounts []topo.Account, ok bool) {
	config := q.options.State.Load().Config()
	if config == nil {
		return nil, false
	}
	for account := range config.Accounts() {
		if account.Rate > 0 && groupOf(account.Name) == group {
			accounts = append(accounts, account)
		}
	}
	return accounts, true
}

// holding returns what this host holds of an account.
func (q *Quota) holding(account string) *holding {
	h, ok := q.holdings[account]
	if !ok {
		h = &holding{}
		q.holdings[account] = h
	}
	return h
}

// startID identifies this process in its reports.
func (q *Quota) startID() uint64 { return uint64(q.started.UnixMilli()) }

// validity returns the time for which leases are valid.
func (q *Quota) validity() time.Duration {
	return renewalsPerLease * renewal(q.options.Membership.Size())
}
