package magnoliaworks

import (
	"context"
	stderrors "errors"
	"math"
	"net"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/beacon"
	"magnoliaworks/core/bound"
	"magnoliaworks/core/launch"
	"magnoliaworks/core/limit"
	"magnoliaworks/core/pool"
	"magnoliaworks/core/quota"
	"magnoliaworks/core/relay"
	"magnoliaworks/core/route"
	"magnoliaworks/core/spill"
	"magnoliaworks/core/topo"
	"magnoliaworks/core/watch"
	"magnoliaworks/io/entry"
	"magnoliaworks/platform"
)

const (
	// crossShare is the share of calls that may go to another data centre because it is faster.
	crossShare = 1
	// memoryLimitShare is the share of Platform.MemoryMB that is set as the soft memory limit of the Go runtime.
	memoryLimitShare = 0.7
	// gcPercent is the growth of the heap between two garbage collections in percent, as GOGC. It may be large, since the
	// live heap of a host is small.
	gcPercent = 300
	// acceptShare is the share of the time left to a stop for which the host waits for callers to stop connecting. The rest is
	// for the requests that it has accepted.
	acceptShare = 0.5
	// These TCP keep-alive settings bound the time until a silent connection to the store is detected: the idle time,
	// and then one interval for each unanswered probe.
	storeKeepAliveIdle     = time.Second
	storeKeepAliveInterval = time.Second
	storeKeepAliveProbes   = 2
)

// gateway serves the platform's callers on a host: it passes their messages to backend servers.
type gateway struct {
	host    *Host
	state   *topo.Current
	relay   *relay.Relay
	pool    *pool.Pool
	watcher *watch.Watcher
	beacons *beacon.Keeper
	// launch carries out roll-outs; it is nil on a deployment without them.
	launch *launch.Keeper
	// quota is nil where allowances bind no host.
	quota     *quota.Quota
	listener  *entry.Listener
	readiness *entry.ReadinessListener
}

func newGateway(h *Host) *gateway {
	platformSettings := h.settings.Platform
	g := &gateway{
		host:  h,
		state: topo.NewCurrent(),
	}
	picker := route.NewPicker(route.Policy(h.settings.Policy), h.settings.DataCentre,
		limit.NewBudget(crossShare, budgetBurst), h.journal, route.WithSpill(spill.Terms{
			MinSaving:      platformSettings.RemoteSaving,
			MinSavingShare: platformSettings.RemoteSavingShare,
			MegabyteTime:   platformSettings.RemoteMegabyteTime,
		}, h.meter.CountEvent))
	hosts := newMembership(h.table, h.otherPeers, platformSettings.AssumedHosts)
	answers := bound.NewBytes(h.plan.AnswerBytes)
	g.pool = pool.New(pool.Options{
		DataCentre: h.settings.DataCentre,
		Dialer:     platform.NewDialer(h.network.Dial, answers),
		Directory:  g,
		Observer:   picker,
		Timer:      h.timer,
		Journal:    h.journal,
		CountEvent: h.meter.CountEvent,
	})
	var allowances relay.Allowances
	if platformSettings.AllowanceWindow > 0 {
		g.quota = quota.New(quota.Options{
			Bounds: quota.Bounds{
				Window:  platformSettings.AllowanceWindow,
				Overage: platformSettings.AllowanceOverage,
				Slack:   platformSettings.AllowanceSlack,
			},
			State:      g.state,
			Membership: hosts,
			Peers:      h.peers,
			Timer:      h.timer,
			Journal:    h.journal,
			Meter:      h.meter,
			Self:       h.table.Self(),
		})
		allowances = g.quota
	}
	g.relay = relay.New(relay.Options{
		State:      g.state,
		Picker:     picker,
		Pool:       g.pool,
		Membership: hosts,
		Journal:    h.journal,
		Meter:      h.meter,
		Bounds:     h.bounds,
		Peers:      h.peers,
		Allowances: allowances,
		DataCentre: h.settings.DataCentre,
		Self:       h.settings.ID,
		LinkMbps:   platformSettings.LinkMbps,
	})
	g.watcher = watch.New(watch.Options{
		Source:     platform.NewStore(platformSettings.ObjectAddress, g.dialStore, h.meter.CountEvent),
		Peers:      h.peers,
		Membership: hosts,
		Decoder:    platform.Decoder{},
		State:      g.state,
		Timer:      h.timer,
		Journal:    h.journal,
		CountEvent: h.meter.CountEvent,
		DataCentre: h.settings.DataCentre,
		Rollouts:   platformSettings.ExposureShare > 0,
	})
	h.meter.RegisterGauge("magnoliaworks_store_age_seconds", "Time for which changes of the platform's store may be unknown to this host.", func() float64 {
		age, ok := g.watcher.StoreAge()
		if !ok {
			return math.NaN()
		}
		return age.Seconds()
	})
	if platformSettings.ExposureShare > 0 {
		g.launch = launch.New(launch.Options{
			Self:       h.settings.ID,
			Store:      platform.NewOrders(platformSettings.ObjectAddress, g.dialStore, h.meter.CountEvent),
			Peers:      h.peers,
			Traffic:    g.relay,
			Orders:     g.watcher,
			Membership: hosts,
			State:      g.state,
			Timer:      h.timer,
			Journal:    h.journal,
			CountEvent: h.meter.CountEvent,
			Share:      func() float64 { return h.bounds().ExposureShare },

			RollbackTime: func() time.Duration { return h.inForce.Load().Platform.RollbackTime },
		})
		h.meter.RegisterGauge("magnoliaworks_rollouts_open", "Roll-outs that are ordered or active.", func() float64 {
			open, _ := g.launch.Counts()
			return float64(open)
		})
		h.meter.RegisterGauge("magnoliaworks_rollouts_invalid", "Orders for roll-outs that can't be carried out.", func() float64 {
			_, invalid := g.launch.Counts()
			return float64(invalid)
		})
	}
	h.peers.SetAnnouncer(g.watcher)
	own := beacon.Beacon{
		ID:         h.settings.ID,
		Address:    h.settings.PeerAddress,
		DataCentre: h.settings.DataCentre,
	}
	beacons := platform.NewBeacons(platformSettings.ObjectAddress, g.dialStore, h.meter.CountEvent)
	g.beacons = beacon.New(own, beacons, hostFinder{
		membership: hosts,
		watcher:    g.watcher,
		peers:      h.peers,
	}, h.timer, h.journal)
	g.listener = entry.New(entry.Options{
		Handler:    g.relay,
		State:      g.state,
		Timer:      h.timer,
		Log:        h.log.Named("entry"),
		Limit:      h.plan.Callers,
		Answers:    answers,
		CountEvent: h.meter.CountEvent,
	})
	g.readiness = entry.NewReadinessListener(g, h.plan.Ready, h.meter.CountEvent, h.log.Named("ready"))
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

// start opens the listeners and runs the gateway's components in group.
func (g *gateway) start(ctx context.Context, group *errgroup.Group) error {
	applyResourceLimits(g.host.settings.Platform.MemoryMB, g.host.settings.Platform.Processors)
	callers, err := g.host.network.Listen(g.host.settings.Platform.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for callers of the platform")
	}
	balancer, err := g.host.network.Listen(g.host.settings.Platform.ReadyAddress)
	if err != nil {
		_ = callers.Close()
		return errors.Wrap(err, "listen for the load balancer")
	}
	group.Go(func() error { return g.pool.Run(ctx) })
	group.Go(func() error { return g.relay.Run(ctx) })
	group.Go(func() error { return g.watcher.Run(ctx) })
	group.Go(func() error { return g.beacons.Run(ctx) })
	if g.launch != nil {
		group.Go(func() error { return g.launch.Run(ctx) })
	}
	if g.quota != nil {
		group.Go(func() error { return g.quota.Run(ctx) })
	}
	group.Go(func() error { return g.listener.Serve(callers) })
	group.Go(func() error { return g.listener.Sweep(ctx) })
	group.Go(func() error { return g.readiness.Serve(balancer) })
	return nil
}

// stop shuts the listeners down once every accepted request is answered, or ctx ends. While callers keep connecting, as the load
// balancer lets them when too few hosts are ready, it accepts connections for a share of the time, and then answers what it has
// accepted.
func (g *gateway) stop(ctx context.Context) error {
	accepting := ctx
	if deadline, ok := ctx.Deadline(); ok {
		limited, cancel := context.WithTimeout(ctx, time.Duration(acceptShare*float64(time.Until(deadline))))
		defer cancel()
		accepting = limited
	}
	g.listener.Drain(accepting)
	return stderrors.Join(g.listener.Shutdown(ctx), g.readiness.Shutdown(ctx))
}

// dialStore opens a connection to the store, with TCP keep-alive probes that detect a silent store.
func (g *gateway) dialStore(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := g.host.network.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		err = tcp.SetKeepAliveConfig(net.KeepAliveConfig{
			Enable:   true,
			Idle:     storeKeepAliveIdle,
			Interval: storeKeepAliveInterval,
			Count:    storeKeepAliveProbes,
		})
		if err != nil {
			g.host.log.Named("store").Warn("connection without keep-alive probes", "error", err)
		}
	}
	return conn, nil
}

// applyResourceLimits sets the Go runtime's limits from the host's memory, in units of 2^20 bytes, and its number of
// processors; 0 sets no limit.
func applyResourceLimits(memoryMB, processors int) {
	if processors > 0 {
		runtime.GOMAXPROCS(processors)
	}
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(memoryMB<<20)))
		debug.SetGCPercent(gcPercent)
	}
}
