package load

import (
	"context"
	"math/rand/v2"

	"magnoliaworks/core/setup"
)

// RunTarget sends the load to hosts that run elsewhere, at the given callers' addresses. Without stand-ins the report
// contains only what the answers show.
func RunTarget(ctx context.Context, c Config, addresses []string) (Report, error) {
	r := &runner{
		config: c,
		log:    c.Log,
		tally:  newTally(nil),
		random: rand.New(rand.NewPCG(c.Seed, 2)),
	}
	r.client = newClient(r)
	for _, address := range addresses {
		r.client.readyHosts = append(r.client.readyHosts, &member{
			settings: setup.Settings{
				CallerAddress: address,
			},
		})
	}
	r.rateFactor.Store(1)
	err := r.sendArrivals(ctx)
	r.client.close()
	return r.tally.report(), err
}
