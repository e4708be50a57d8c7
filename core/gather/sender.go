// Package gather runs requests: it sends sub-requests to the shards of one snapshot and builds the answer from their results.
package gather

import (
	"context"

	"github.com/pkg/errors"

	"magnoliaworks/core/member"
	"magnoliaworks/core/query"
)

// ErrNotForwarded reports that a request did not leave this host.
var ErrNotForwarded = errors.New("request was not forwarded")

// Sender carries sub-requests to the home hosts of backend servers.
type Sender interface {
	// Send gives a sub-request to a home host. Its result arrives in inbox once, with the token.
	// The inbox must have room for it. The returned function ends interest in the result.
	Send(home member.Member, sub query.SubRequest, token int, inbox chan<- Completion) (cancel func())
}

// Completion is the result of a sub-request with the token it was sent with.
type Completion struct {
	Token  int
	Result query.Result
}

// Forwarder carries a request that may not be repeated to the usual writer of its ledger partition.
type Forwarder interface {
	// Forward runs the request on another host. The error is a query.Refusal when that host answered with one,
	// ErrNotForwarded when the request did not leave this host, and any other error when its fate is open.
	Forward(ctx context.Context, to member.Member, req query.Request) (query.Answer, error)
}
