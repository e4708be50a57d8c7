package load

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/deploy"
	"magnoliaworks/core/timer"
	"magnoliaworks/stand"
)

// ControlTraffic is the control-plane traffic of a fleet that serves no requests.
type ControlTraffic struct {
	Hosts int
	// ByteRatePerHost is the traffic between hosts and with the store, in bytes a second for each host, in both directions.
	ByteRatePerHost float64
	// ReadRate, WriteRate and WatchRate are the store calls a second of the whole fleet.
	ReadRate  float64
	WriteRate float64
	WatchRate float64
}

// Measurement describes a measurement: the fleet settles for Settle and is then measured for Duration.
type Measurement struct {
	Settle   time.Duration
	Duration time.Duration
	// During runs during the measured time; nil leaves the fleet idle.
	During func(f *Fleet) error
}

// MeasureControlTraffic runs hostCount hosts without requests and returns their control traffic over the measured time.
// It calls begin and end at the start and the end of the measured time.
func MeasureControlTraffic(ctx context.Context, p deploy.Spec, hostCount int, measurement Measurement, begin, end func()) (ControlTraffic, error) {
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
