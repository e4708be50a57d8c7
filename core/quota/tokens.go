package quota

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/member"
	"magnoliaworks/core/topo"
)

const (
	// dividerTimeout is the part of tokenTimeout for which a divider is waited for. lenderCount is the number of other hosts that
	// are asked at a time in its place, lenderRounds times at most; one that doesn't answer within lenderTimeout isn't asked again for
	// lenderPause.
	dividerTimeout = 70 * time.Millisecond
	lenderCount    = 3
	lenderRounds   = 4
	lenderTimeout  = 40 * time.Millisecond
	lenderPause    = 5 * time.Second
)

// askForTokens asks the divider of an account for tokens. If it doesn't answer, or has none though the account asks for no more
// than it may have, other hosts are asked to lend of what they hold.
func (q *Quota) askForTokens(ctx context.Context, account string, wanted int, l link) Lease {
	var lease Lease
	if !l.known {
		return lease
	}
	if !l.silent {
		lease = q.askDivider(ctx, account, wanted, l)
	}
	if lease.Tokens > 0 || lease.RetryAfter > 0 || ctx.Err() != nil {
		return lease
	}
	lease.Tokens = q.borrow(ctx, account, wanted)
	return lease
}

// askDivider asks a divider for tokens, and notes if it doesn't answer.
func (q *Quota) askDivider(ctx context.Context, account string, wanted int, l link) Lease {
	ctx, cancel := context.WithTimeout(ctx, dividerTimeout)
	defer cancel()
	q.options.Meter.CountEvent("allowance_asked")
	reply, err := q.send(ctx, l.to, q.question(account, wanted, false))
	q.mu.Lock()
	defer q.mu.Unlock()
	current := &q.links[groupOf(account)]
	if err == nil && len(reply.Leases) > 0 {
		if due := current.sentAt.Add(reply.Again); reply.Again > 0 && due.Before(current.dueAt) {
			current.dueAt = due
		}
		return reply.Leases[0]
	}
	q.options.Meter.CountEvent("allowance_unanswered")
	if current.to.ID == l.to.ID {
		current.silent = true
	}
	return Lease{}
}

// borrow asks other hosts, near ones first, to lend slots, and returns the number of tokens of the first that has some.
func (q *Quota) borrow(ctx context.Context, account string, wanted int) int {
	q.options.Meter.CountEvent("allowance_borrowed")
	lenders := q.lenders(time.Now())
	for range lenderRounds {
		n := min(lenderCount, len(lenders))
		if tokens := q.askLenders(ctx, account, wanted, lenders[:n]); tokens > 0 || ctx.Err() != nil {
			return tokens
		}
		lenders = lenders[n:]
	}
	return 0
}

// askLenders asks some hosts at once, and returns the number of tokens of the first that has some.
func (q *Quota) askLenders(ctx context.Context, account string, wanted int, lenders []member.Member) int {
	group := new(errgroup.Group)
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		_ = group.Wait()
	}()
	replies := make(chan int, len(lenders))
	for _, lender := range lenders {
		group.Go(func() error {
			replies <- q.askLender(ctx, account, wanted, lender)
			return nil
		})
	}
	for range lenders {
		if tokens := <-replies; tokens > 0 {
			return tokens
		}
	}
	return 0
}

// askLender asks one host to lend slots, and returns the number of tokens.
func (q *Quota) askLender(ctx context.Context, account string, wanted int, lender member.Member) int {
	limited, cancel := context.WithTimeout(ctx, lenderTimeout)
	defer cancel()
	reply, err := q.send(limited, lender, q.question(account, wanted, true))
	if err == nil && len(reply.Leases) > 0 {
		return reply.Leases[0].Tokens
	}
	if ctx.Err() != nil {
		return 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pausedLenders[lender.ID] = time.Now().Add(lenderPause)
	return 0
}

// lenders returns the hosts that may lend, in the order in which they are to be asked: those of this data centre first, at random
// otherwise.
func (q *Quota) lenders(now time.Time) []member.Member {
	available := q.options.Membership.Available()
	rand.Shuffle(len(available), func(i, j int) { available[i], available[j] = available[j], available[i] })
	q.mu.Lock()
	defer q.mu.Unlock()
	var local, remote []member.Member
	for _, m := range available {
		switch {
		case m.ID == q.options.Self.ID || now.Before(q.pausedLenders[m.ID]):
		case m.DataCentre == q.options.Self.DataCentre:
			local = append(local, m)
		default:
			remote = append(remote, m)
		}
	}
	return append(local, remote...)
}

// question returns the request for tokens of an account.
func (q *Quota) question(account string, wanted int, lend bool) Report {
	return Report{
		Group:      groupOf(account),
		Host:       q.options.Self.ID,
		Start:      q.startID(),
		TokensOnly: true,
		Lend:       lend,
		Uses: []Use{{
			Account: account,
			Wanted:  wanted,
		}},
	}
}

// lend lends another host slots that this one holds and doesn't use.
func (q *Quota) lend(r Report, accounts []topo.Account) Reply {
	q.mu.Lock()
	defer q.mu.Unlock()
	var reply Reply
	for _, account := range accounts {
		if wanted := r.wanted(account.Name); wanted > 0 {
			total := q.options.Bounds.Slots(account)
			reply.Leases = append(reply.Leases, Lease{
				Account: account.Name,
				Of:      total,
				Tokens:  q.holding(account.Name).lend(wanted, total, q.options.Bounds.Window, time.Now()),
			})
		}
	}
	return reply
}
