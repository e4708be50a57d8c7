package magnoliaworks

import (
	"context"
	"net"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/limit"
	"magnoliaworks/core/pool"
	"magnoliaworks/core/relay"
	"magnoliaworks/core/route"
	"magnoliaworks/core/topo"
	"magnoliaworks/core/watch"
	"magnoliaworks/io/entry"
	"magnoliaworks/platform"
)

const (
	// crossShare is the share of calls that may go to another data centre because it is faster.
	crossShare = 1
	// memoryPart is the part of the permitted memory at which the collector works harder.
	memoryPart = 0.7
	// collectPercent is the growth of the heap between two collections, in percent; the live heap of a host is small.
	collectPercent = 300
	// storeIdle and storeInterval bound the time until a silent connection to the store is noticed.
	storeIdle     = time.Second
	storeInterval = time.Second
	storeProbes   = 2
)

// gateway serves the platform's callers on a host.
type gateway struct {
	host    *Host
	state   *topo.Current
	relay   *relay.Relay
	pool    *pool.Pool
	watcher *watch.Watcher
	door    *entry.Listener
	sign    *entry.ReadinessListener
}

func newGateway(h *Host) *gateway {
	p := h.settings.Platform
	g := &gateway{
		host:  h,
		state: topo.NewCurrent(),
	}
	picker := route.NewPicker(route.Policy(h.settings.Policy), h.settings.DataCentre,
		limit.NewBudget(crossShare, budgetBurst), h.journal)
	sharers := newSharers(h.table)
	g.pool = pool.New(pool.Options{
		DataCentre: h.settings.DataCentre,
		Dialer:     platform.NewDialer(h.network.Dial),
		Directory:  g,
		Observer:   picker,
		Timer:      h.timer,
		Journal:    h.journal,
		CountEvent: h.meter.CountEvent,
	})
	g.relay = relay.New(relay.Options{
		State:      g.state,
		Picker:     picker,
		Pool:       g.pool,
		Membership: sharers,
		Journal:    h.journal,
		Meter:      h.meter,
		Bounds:     h.bounds,
		Peers:      h.peers,
		DataCentre: h.settings.DataCentre,
		Self:       h.settings.ID,
	})
	g.watcher = watch.New(watch.Options{
		Source:     platform.NewStore(p.ObjectAddress, g.dialStore, h.meter.CountEvent),
		Peers:      h.peers,
		Membership: sharers,
		Decoder:    platform.Decoder{},
		State:      g.state,
		Timer:      h.timer,
		Journal:    h.journal,
	})
	g.door = entry.New(g.relay, g.state, h.timer, h.log.Named("entry"))
	g.sign = entry.NewReadinessListener(g, h.log.Named("ready"))
	return g
}

// Servers implements pool.Directory.
func (g *gateway) Servers() []route.Server { return g.relay.Servers() }

// HostCount implements pool.Directory.
func (g *gateway) HostCount() int { return g.relay.HostCount() }

// Ready implements entry.Readiness.
func (g *gateway) Ready() (reason string, ok bool) {
	state := g.state.Load()
	switch {
	case g.host.leaving.Load():
		return "the host is leaving", false
	case state.Config() == nil:
		return "no configuration received yet", false
	case len(g.relay.Servers()) == 0:
		return "no backend server is known", false
	}
	return "", true
}

// start opens the listeners and runs all parts in the group.
func (g *gateway) start(ctx context.Context, parts *errgroup.Group) error {
	limitProcess(g.host.settings.Platform.Memory, g.host.settings.Platform.Processors)
	callers, err := g.host.network.Listen(g.host.settings.Platform.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for callers of the platform")
	}
	balancer, err := g.host.network.Listen(g.host.settings.Platform.ReadyAddress)
	if err != nil {
		_ = callers.Close()
		return errors.Wrap(err, "listen for the balancer")
	}
	parts.Go(func() error { return g.pool.Run(ctx) })
	parts.Go(func() error { return g.relay.Run(ctx) })
	parts.Go(func() error { return g.watcher.Run(ctx) })
	parts.Go(func() error { return g.door.Serve(callers) })
	parts.Go(func() error { return g.door.Sweep(ctx) })
	parts.Go(func() error { return g.sign.Serve(balancer) })
	return nil
}

// stop ends the service once every request that was taken has its answer.
func (g *gateway) stop(ctx context.Context) error {
	g.door.Drain(ctx)
	if err := g.door.Shutdown(ctx); err != nil {
		return err
	}
	return g.sign.Shutdown(ctx)
}

// dialStore opens a connection to the store that notices when it goes silent.
func (g *gateway) dialStore(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := g.host.network.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		err = tcp.SetKeepAliveConfig(net.KeepAliveConfig{
			Enable:   true,
			Idle:     storeIdle,
			Interval: storeInterval,
			Count:    storeProbes,
		})
		if err != nil {
			g.host.log.Named("store").Warn("connection without keep-alive probes", "error", err)
		}
	}
	return conn, nil
}

// limitProcess keeps the process within the memory and the processors of its host.
func limitProcess(memoryMB, processors int) {
	if processors > 0 {
		runtime.GOMAXPROCS(processors)
	}
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(memoryMB<<20)))
		debug.SetGCPercent(collectPercent)
	}
}
