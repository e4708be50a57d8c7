package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/config"
	"magnoliaworks/core/deploy"
	"magnoliaworks/core/timer"
	"magnoliaworks/stand"
)

const (
	// sampleInterval is the time between two samples of the hosts' configuration versions and readiness.
	sampleInterval = 50 * time.Millisecond
)

// runner executes one experiment.
type runner struct {
	config   Config
	platform *stand.Platform
	fleet    *Fleet
	log      hclog.Logger
	tally    *tally
	client   *client
	// rateFactor multiplies the configured request rate.
	rateFactor atomic.Int64

	mu     sync.Mutex
	random *rand.Rand
}

// Run runs one experiment with hosts and stand-ins in this process and returns its report.
// An error means that the experiment did not run as planned; violations are in the report.
func Run(ctx context.Context, c Config) (Report, error) {
	network := stand.NewMemory(c.Deployment.Delays)
	platform, err := stand.NewPlatform(c.Deployment, network, c.Seed)
	if err != nil {
		return Report{}, err
	}
	fleet, err := NewFleet(ctx, platform, c.Hosts, c.Policy, c.Log)
	if err != nil {
		return Report{}, err
	}
	r := &runner{
		config:   c,
		platform: platform,
		fleet:    fleet,
		log:      c.Log,
		tally:    newTally(platform),
		random:   rand.New(rand.NewPCG(c.Seed, 2)),
	}
	r.client = newClient(r)
	r.client.refresh(fleet.members())
	r.rateFactor.Store(1)
	err = r.execute(ctx)
	if stopErr := fleet.Stop(); err == nil {
		err = stopErr
	}
	r.client.close()
	platform.Stop()
	network.Wait()
	return r.tally.report(), err
}

// execute runs the load, the faults and the sampling concurrently.
func (r *runner) execute(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	sampling, stopSampling := context.WithCancel(ctx)
	group.Go(func() error { return r.sampleHosts(sampling) })
	faults, ctx := errgroup.WithContext(ctx)
	for _, f := range r.config.Faults {
		faults.Go(func() error { return r.injectFault(ctx, f) })
	}
	group.Go(func() error {
		defer stopSampling()
		if err := r.sendArrivals(ctx); err != nil {
			return err
		}
		return faults.Wait()
	})
	return group.Wait()
}

// injectFault starts and stops a fault at its times, which count from the start of the measured time.
func (r *runner) injectFault(ctx context.Context, f Fault) error {
	injector := injectors[f.Name]
	if timer.Sleep(ctx, r.config.Settle+f.Start) != nil {
		return nil
	}
	r.log.Info("fault on", "fault", f.Name)
	if err := injector.start(ctx, r); err != nil || injector.stop == nil {
		return err
	}
	duration := injector.defaultDuration
	if f.End > 0 {
		duration = f.End - f.Start
	}
	if duration == 0 {
		duration = max(r.config.Duration-f.Start, 0)
	}
	_ = timer.Sleep(ctx, duration)
	r.log.Info("fault off", "fault", f.Name)
	return injector.stop(ctx, r)
}

// sendArrivals sends requests in an open loop: at random times, whether or not earlier requests have ended.
func (r *runner) sendArrivals(ctx context.Context) error {
	requests := new(errgroup.Group)
	began := time.Now()
	end := began.Add(r.config.Settle + r.config.Duration)
	due := began
	for number := 0; ; number++ {
		due = due.Add(r.interarrivalTime())
		if due.After(end) {
			break
		}
		if timer.Sleep(ctx, time.Until(due)) != nil {
			break
		}
		a := r.newArrival(number, due, due.Sub(began) >= r.config.Settle)
		requests.Go(func() error {
			r.client.do(ctx, a)
			return nil
		})
	}
	_ = requests.Wait()
	return nil
}

// interarrivalTime draws the time to the next request from an exponential distribution.
func (r *runner) interarrivalTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	rate := r.config.Rate * float64(r.rateFactor.Load())
	return time.Duration(r.random.ExpFloat64() / rate * float64(time.Second))
}

// oneIn returns true with probability 1/n.
func (r *runner) oneIn(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n) == 0
}

// arrival is one request to be sent at due; measured is false during the settling time.
type arrival struct {
	number     int
	due        time.Time
	measured   bool
	collection string
	kind       config.Kind
}

// newArrival draws a collection by weight and one of its kinds.
func (r *runner) newArrival(number int, due time.Time, measured bool) arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := collectionAt(r.config.Deployment.Collections, r.random.Float64())
	return arrival{
		number:     number,
		due:        due,
		measured:   measured,
		collection: c.Name,
		kind:       c.Kinds[r.random.IntN(len(c.Kinds))],
	}
}

// collectionAt returns the collection at a position in [0, 1] of the summed weights.
func collectionAt(collections []deploy.Collection, at float64) deploy.Collection {
	for _, c := range collections {
		if at < c.Weight {
			return c
		}
		at -= c.Weight
	}
	return collections[len(collections)-1]
}

// sampleHosts updates the client's ready hosts and checks that no configuration version decreases, until ctx ends.
func (r *runner) sampleHosts(ctx context.Context) error {
	for timer.Sleep(ctx, sampleInterval) == nil {
		r.client.refresh(r.fleet.members())
		for _, m := range r.fleet.members() {
			r.tally.recordVersions(m, m.host.Versions())
		}
	}
	return nil
}
