package magnoliaworks

import (
	"context"

	"magnoliaworks/core/query"
)

// runner runs the requests of callers and operators on a host.
type runner struct {
	host *Host
}

// Run implements caller.Runner.
func (r runner) Run(ctx context.Context, req query.Request) (query.Answer, error) {
	return r.host.Request(ctx, req)
}
