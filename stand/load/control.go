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

// Control is what an idle fleet spends on itself.
type Control struct {
	Hosts int
	// BytesPerHost is the traffic between hosts and with the store, in bytes a second for each host, both ways.
	BytesPerHost float64
	// Reads, Writes and Watches are calls of the store a second, of the whole fleet.
	Reads   float64
	Writes  float64
	Watches float64
}

// Span is the time of a measurement: first the fleet settles, then it is measured.
type Span struct {
	Settle time.Duration
	Over   time.Duration
	// Meanwhile runs during the measurement; nil means that nothing happens.
	Meanwhile func(f *Fleet) error
}

// MeasureControl runs n hosts without requests and returns what they spend over the span.
// begin and end are called around the measured time.
func MeasureControl(ctx context.Context, p deploy.Spec, n int, span Span, begin, end func()) (Control, error) {
	over := span.Over
	network := stand.NewMemory(p.Delays)
	platform, err := stand.NewPlatform(p, network, 1)
	if err != nil {
		return Control{}, err
	}
	fleet, err := NewFleet(ctx, platform, n, "full", hclog.NewNullLogger())
	if err != nil {
		return Control{}, err
	}
	_ = timer.Sleep(ctx, span.Settle)
	begin()
	traffic, calls := network.Traffic(), platform.Store.Calls()
	var tasks errgroup.Group
	if span.Meanwhile != nil {
		tasks.Go(func() error { return span.Meanwhile(fleet) })
	}
	_ = timer.Sleep(ctx, over)
	later, laterCalls := network.Traffic(), platform.Store.Calls()
	end()
	if err := tasks.Wait(); err != nil {
		return Control{}, err
	}
	err = fleet.Stop()
	platform.Stop()
	network.Wait()
	bytes := later.BetweenHosts - traffic.BetweenHosts + later.ToStore - traffic.ToStore
	return Control{
		Hosts:        n,
		BytesPerHost: float64(bytes) / over.Seconds() / float64(n),
		Reads:        float64(laterCalls.Reads-calls.Reads) / over.Seconds(),
		Writes:       float64(laterCalls.Writes-calls.Writes) / over.Seconds(),
		Watches:      float64(laterCalls.Watches-calls.Watches) / over.Seconds(),
	}, err
}
