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
	// sampleStep is the time between two looks at the hosts' configuration versions and readiness.
	sampleStep = 50 * time.Millisecond
)

// run is one experiment in progress.
type run struct {
	config   Config
	platform *stand.Platform
	fleet    *Fleet
	log      hclog.Logger
	tally    *tally
	client   *client
	// factor multiplies the rate.
	factor atomic.Int64

	mu     sync.Mutex
	random *rand.Rand
}

// Run runs one experiment with stand-ins in this process and returns its report.
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
	r := &run{
		config:   c,
		platform: platform,
		fleet:    fleet,
		log:      c.Log,
		tally:    newTally(platform),
		random:   rand.New(rand.NewPCG(c.Seed, 2)),
	}
	r.client = newClient(r)
	r.client.refresh(fleet.members())
	r.factor.Store(1)
	err = r.whole(ctx)
	if stopErr := fleet.Stop(); err == nil {
		err = stopErr
	}
	r.client.close()
	platform.Stop()
	network.Wait()
	return r.tally.report(), err
}

// whole runs the load, the faults and the sampling side by side.
func (r *run) whole(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	sampling, stopSampling := context.WithCancel(ctx)
	group.Go(func() error { return r.sample(sampling) })
	faults, ctx := errgroup.WithContext(ctx)
	for _, f := range r.config.Faults {
		faults.Go(func() error { return r.bring(ctx, f) })
	}
	group.Go(func() error {
		defer stopSampling()
		if err := r.arrivals(ctx); err != nil {
			return err
		}
		return faults.Wait()
	})
	return group.Wait()
}

// bring switches a fault on and off at its times, which count from the end of the settling.
func (r *run) bring(ctx context.Context, f Fault) error {
	a := actions[f.Name]
	if timer.Sleep(ctx, r.config.Settle+f.Start) != nil {
		return nil
	}
	r.log.Info("fault on", "fault", f.Name)
	if err := a.on(ctx, r); err != nil || a.off == nil {
		return err
	}
	length := a.length
	if f.End > 0 {
		length = f.End - f.Start
	}
	if length == 0 {
		length = max(r.config.Duration-f.Start, 0)
	}
	_ = timer.Sleep(ctx, length)
	r.log.Info("fault off", "fault", f.Name)
	return a.off(ctx, r)
}

// arrivals sends requests at random times of the wanted rate, whether or not earlier ones have ended.
func (r *run) arrivals(ctx context.Context) error {
	requests := new(errgroup.Group)
	began := time.Now()
	end := began.Add(r.config.Settle + r.config.Duration)
	due := began
	for number := 0; ; number++ {
		due = due.Add(r.gap())
		if due.After(end) {
			break
		}
		if timer.Sleep(ctx, time.Until(due)) != nil {
			break
		}
		a := r.arrival(number, due, due.Sub(began) >= r.config.Settle)
		requests.Go(func() error {
			r.client.do(ctx, a)
			return nil
		})
	}
	_ = requests.Wait()
	return nil
}

func (r *run) gap() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	rate := r.config.Rate * float64(r.factor.Load())
	return time.Duration(r.random.ExpFloat64() / rate * float64(time.Second))
}

// chance returns true once in n times.
func (r *run) chance(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n) == 0
}

// arrival is one request that is due.
type arrival struct {
	number     int
	due        time.Time
	counted    bool
	collection string
	kind       config.Kind
}

// arrival chooses a collection by weight and one of its kinds.
func (r *run) arrival(number int, due time.Time, counted bool) arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := choose(r.config.Deployment.Collections, r.random.Float64())
	return arrival{
		number:     number,
		due:        due,
		counted:    counted,
		collection: c.Name,
		kind:       c.Kinds[r.random.IntN(len(c.Kinds))],
	}
}

func choose(collections []deploy.Collection, at float64) deploy.Collection {
	for _, c := range collections {
		if at < c.Weight {
			return c
		}
		at -= c.Weight
	}
	return collections[len(collections)-1]
}

// sample watches the hosts: which are ready for the balancer, and that no configuration version falls.
func (r *run) sample(ctx context.Context) error {
	for timer.Sleep(ctx, sampleStep) == nil {
		r.client.refresh(r.fleet.members())
		for _, m := range r.fleet.members() {
			r.tally.versions(m, m.host.Versions())
		}
	}
	return nil
}
