package load

import (
	"context"
	"math/rand/v2"

	"magnoliaworks/core/setup"
)

// RunTarget sends the load to running hosts and returns a report of what their answers show.
func RunTarget(ctx context.Context, c Config, addresses []string) (Report, error) {
	r := &run{
		config: c,
		log:    c.Log,
		tally:  newTally(nil),
		random: rand.New(rand.NewPCG(c.Seed, 2)),
	}
	r.client = newClient(r)
	for _, address := range addresses {
		r.client.ready = append(r.client.ready, &member{
			settings: setup.Settings{
				CallerAddress: address,
			},
		})
	}
	r.factor.Store(1)
	err := r.arrivals(ctx)
	r.client.close()
	return r.tally.report(), err
}
