package load

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/plan"
	"magnoliaworks/core/timer"
	"magnoliaworks/stand"
)

// ControlTraffic is what an idle fleet spends on itself.
type ControlTraffic struct {
	Hosts int
	// ByteRatePerHost is the traffic between hosts and with the store, in bytes a second for each host, both ways.
	ByteRatePerHost float64
	// ReadRate, Writes and Watches are calls of the store a second, of the whole fleet.
	ReadRate   float64
	WriteRate  float64
	WatchRate float64
}

// Measurement is the time of a measurement: first the fleet settles, then it is measured.
type Measurement struct {
	Settle time.Duration
	Duration   time.Duration
	// During runs during the measurement; nil means that nothing happens.
	During func(f *Fleet) error
}

// MeasureControlTraffic runs n hosts without requests and returns their control traffic over the measured time.
// begin and end are called around the measured time.
func MeasureControlTraffic(ctx context.Context, p plan.Plan, n int, span Measurement, begin, end func()) (ControlTraffic, error) {
	over := span.Duration
	network := stand.NewMemory(p.Delays)
	platform, err := stand.NewPlatform(p, network, 1)
	if err != nil {
		return ControlTraffic{}, err
	}
	fleet, err := NewFleet(ctx, platform, n, "full", hclog.NewNullLogger())
	if err != nil {
		return ControlTraffic{}, err
	}
	_ = timer.Sleep(ctx, span.Settle)
	begin()
	traffic, calls := network.Traffic(), platform.Store.Calls()
	var tasks errgroup.Group
	if span.During != nil {
		tasks.Go(func() error { return span.During(fleet) })
	}
	_ = timer.Sleep(ctx, over)
	later, laterCalls := network.Traffic(), platform.Store.Calls()
	end()
	if err := tasks.Wait(); err != nil {
		return ControlTraffic{}, err
	}
	err = fleet.Stop()
	platform.Stop()
	network.Wait()
	bytes := later.BetweenHosts - traffic.BetweenHosts + later.ToStore - traffic.ToStore
	return ControlTraffic{
		Hosts:        n,
		ByteRatePerHost: float64(bytes) / over.Seconds() / float64(n),
		ReadRate:        float64(laterCalls.Reads-calls.Reads) / over.Seconds(),
		WriteRate:       float64(laterCalls.Writes-calls.Writes) / over.Seconds(),
		WatchRate:      float64(laterCalls.Watches-calls.Watches) / over.Seconds(),
	}, err
}
