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
	ReadRate  float64
	WriteRate float64
	WatchRate float64
}

// Measurement is the time of a measurement: first the fleet settles, then it is measured.
type Measurement struct {
	Settle   time.Duration
	Duration time.Duration
	// During runs during the measurement; nil means that nothing happens.
	During func(f *Fleet) error
}

// MeasureControlTraffic runs n hosts without requests and returns their control traffic over the measured time.
// begin and end are called around the measured time.
func MeasureControlTraffic(ctx context.Context, p plan.Plan, hostCount int, measurement Measurement, begin, end func()) (ControlTraffic, error) {
	duration := measurement.Duration
	network := stand.NewMemory(p.Delays)
	platform, err := stand.NewPlatform(p, network, 1)
	if err != nil {
		return ControlTraffic{}, err
	}
	fleet, err := NewFleet(ctx, platform, hostCount, "full", hclog.NewNullLogger())
	if err != nil {
		return ControlTraffic{}, err
	}
	_ = timer.Sleep(ctx, measurement.Settle)
	begin()
	traffic, calls := network.Traffic(), platform.Store.Calls()
	var tasks errgroup.Group
	if measurement.During != nil {
		tasks.Go(func() error { return measurement.During(fleet) })
	}
	_ = timer.Sleep(ctx, duration)
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
		Hosts:           hostCount,
		ByteRatePerHost: float64(bytes) / duration.Seconds() / float64(hostCount),
		ReadRate:        float64(laterCalls.Reads-calls.Reads) / duration.Seconds(),
		WriteRate:       float64(laterCalls.Writes-calls.Writes) / duration.Seconds(),
		WatchRate:       float64(laterCalls.Watches-calls.Watches) / duration.Seconds(),
	}, err
}
