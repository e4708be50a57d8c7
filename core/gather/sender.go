// Package gather runs requests by scatter-gather: it sends sub-requests to the shards of one snapshot and merges their results.
package gather

import (
	"context"

	"github.com/pkg/errors"

	"magnoliaworks/core/member"
	"magnoliaworks/core/query"
)

// ErrNotForwarded reports that a request did not leave this host, so the other host has not run it.
var ErrNotForwarded = errors.New("request was not forwarded")

// Sender sends sub-requests to the home hosts of backend servers.
type Sender interface {
	// Send sends a sub-request to a home host. Its Completion, with the token, is written to inbox once;
	// inbox must have room for it. After cancel the result is not wanted, and the Completion may be missing.
	Send(home member.Member, sub query.SubRequest, token int, inbox chan<- Completion) (cancel func())
}

// Completion is the result of a sub-request with the token that Send received.
type Completion struct {
	Token  int
	Result query.Result
}

// Forwarder forwards a non-idempotent request to the usual writer of its ledger partition.
type Forwarder interface {
	// Forward runs the request on another host. The error is a query.Refusal when that host replied with one,
	// ErrNotForwarded when the request did not leave this host, and any other error when the outcome is unknown.
	Forward(ctx context.Context, to member.Member, req query.Request) (query.Answer, error)
}
