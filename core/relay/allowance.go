package relay

import (
	"context"
	"fmt"
	"time"

	"magnoliaworks/core/query"
	"magnoliaworks/core/topo"
	"magnoliaworks/core/trace"
)

// Allowances decides whether requests are within the allowances of their client accounts.
type Allowances interface {
	// Take takes one request out of an account's allowance. If ok is false there is none left, and retryAfter is the time after which
	// one is likely. It waits briefly at most.
	Take(ctx context.Context, account topo.Account) (retryAfter time.Duration, ok bool)
	// Return gives back a request that was taken and that no server executed.
	Return(account topo.Account)
}

// takeAllowance takes the message out of the allowance of its client account, if it has one. The error is a query.OverAllowance.
// Nothing has been sent at this point.
func (r *Relay) takeAllowance(account topo.Account, m *query.Message) error {
	if r.options.Allowances == nil || account.Name == "" {
		return nil
	}
	ctx, cancel := context.WithDeadline(context.Background(), m.At(m.Timeout))
	defer cancel()
	retryAfter, ok := r.options.Allowances.Take(ctx, account)
	if ok {
		return nil
	}
	return query.OverAllowance{
		Account:    account.Name,
		RetryAfter: retryAfter,
	}
}

// returnAllowance gives the message back to the allowance of its client account if it was refused without being executed.
func (r *Relay) returnAllowance(account topo.Account, err error) {
	if _, ok := err.(query.NotRun); ok && r.options.Allowances != nil && account.Name != "" {
		r.options.Allowances.Return(account)
	}
}

// recordOverAllowance counts and logs a message beyond the allowance of its client account.
func (r *Relay) recordOverAllowance(m *query.Message, t *table, matched *topo.Route, account topo.Account, err error) {
	r.recordRefusal(m, &r.overAllowanceRate, trace.Request{
		Kind:    matched.Name,
		Version: t.state.Config().Version,
		Account: account.Name,
		Steps: []trace.Step{{
			After:  time.Since(m.Arrived),
			What:   "over allowance",
			Detail: fmt.Sprintf("rate %g a second, burst %g", account.Rate, account.Burst),
		}},
	}, err)
}
