package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"magnoliaworks/core/timer"
	"magnoliaworks/stand/crowd"
	"magnoliaworks/stand/site"
)

const (
	// crowdClients is the number of clients that leave the limits at a time, crowdTime the time for which they do.
	crowdClients = 20
	crowdTime    = time.Second
	// maxBodyBytes and the following are the limits of the configuration.
	maxBodyBytes    = 262_144
	maxHeaderBytes  = 16_384
	headerTimeoutMS = 3_000
	idleTimeoutMS   = 15_000
)

// limits returns the limits of the configuration.
func limits() site.Limits {
	return site.Limits{
		MaxHeaderBytes:  maxHeaderBytes,
		MaxBodyBytes:    maxBodyBytes,
		HeaderTimeoutMS: headerTimeoutMS,
		IdleTimeoutMS:   idleTimeoutMS,
	}
}

// runCrowds sends small crowds that keep no limits to random hosts until ctx ends, beside the ordinary callers.
func (s *soak) runCrowds(ctx context.Context) error {
	random := rand.New(rand.NewPCG(s.config.Seed, 97))
	manners := crowd.Manners(maxBodyBytes)
	head := "GET /x HTTP/1.1\r\nHost: " + oneHost + "\r\nX-Request-Id: " + crowd.IDPlace + "\r\nX-Deadline-Ms: 1000\r\n"
	for ctx.Err() == nil {
		manner := manners[random.IntN(len(manners))]
		c := crowd.Crowd{
			Door: crowd.Door{
				Address: s.randomHost(random).settings.Platform.CallerAddress,
				Head:    head,
				Whole:   head + "\r\n",
			},
			Manner:  manner,
			Clients: crowdClients,
		}
		limited, cancel := context.WithTimeout(ctx, crowdTime)
		opened := c.Run(limited)
		cancel()
		s.updateReport(func(r *Report) { r.Crowds[manner.Name] += opened })
		_ = timer.Sleep(ctx, crowdTime)
	}
	return nil
}
