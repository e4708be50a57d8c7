// Package magnoliaworks is a query tier over many shards: the hosts between callers and the backend servers of a search system.
//
// A Host receives callers' requests, sends a sub-request for each shard to the home host of a backend server, and answers
// from one snapshot with the coverage that was reached. docs/ARCHITECTURE.md gives an overview.
package magnoliaworks

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"magnoliaworks/core/bound"
	"magnoliaworks/core/config"
	"magnoliaworks/core/gather"
	"magnoliaworks/core/index"
	"magnoliaworks/core/ledger"
	"magnoliaworks/core/limit"
	"magnoliaworks/core/member"
	"magnoliaworks/core/query"
	"magnoliaworks/core/route"
	"magnoliaworks/core/server"
	"magnoliaworks/core/setup"
	"magnoliaworks/core/shell"
	"magnoliaworks/core/syncer"
	"magnoliaworks/core/timer"
	"magnoliaworks/core/trace"
	"magnoliaworks/io/admin"
	"magnoliaworks/io/caller"
	"magnoliaworks/io/dialer"
	"magnoliaworks/io/head"
	"magnoliaworks/io/hosts"
	"magnoliaworks/io/metric"
	"magnoliaworks/io/peer"
	"magnoliaworks/io/store"
)

// Version is the version of the program.
const Version = "0.1.0"

// Host is one host of the query tier, a member of the fleet. It serves callers, operators and other hosts.
type Host struct {
	// settings are as given to New; inForce holds them with reloaded values applied.
	settings setup.Settings
	network  Network
	log      hclog.Logger
	// plan is what the listeners may hold for their clients.
	plan bound.Plan

	timer     *timer.Service
	journal   *trace.Journal
	table     *member.Table
	config    *config.Current
	routes    *route.CurrentTable
	directory *directory
	picker    *route.Picker
	snapshots *index.SnapshotTracker
	budgets   budgets
	store     *store.Client
	hostList  *hosts.Client
	peers     *peer.Client
	links     *peer.Links
	servers   *server.Group
	syncer    *syncer.Syncer
	detector  *member.Detector
	ledger    *ledger.Ledger
	gatherer  *gather.Gatherer
	inFlight  *limit.Semaphore
	tasks     *tasks
	shell     *shell.Shell
	meter     *metric.Meter
	callers   *caller.Listener
	admin     *admin.Listener
	peerRPC   http.Handler
	leaving   atomic.Bool
	inForce   atomic.Pointer[setup.Settings]
	// gateway serves the platform's callers; it is nil when the platform's settings are off.
	gateway *gateway
}

// New returns a host that does nothing until Run is called. It returns an error when TLS files cannot be loaded.
func New(opts ...Option) (*Host, error) {
	o := options{
		settings: setup.Default(),
		network:  &tcpNetwork{},
		log:      hclog.NewNullLogger(),
	}
	for _, opt := range opts {
		opt(&o)
	}
	peerTLS, err := dialTLS(o.settings.PeerTLS)
	if err != nil {
		return nil, err
	}
	h := &Host{
		settings:  o.settings,
		network:   o.network,
		log:       o.log,
		plan:      bound.NewPlan(o.settings.Platform.MemoryMB, o.settings.Platform.MaxDescriptors),
		timer:     timer.New(),
		journal:   trace.NewJournal(o.log),
		config:    config.NewCurrent(),
		routes:    &route.CurrentTable{},
		snapshots: index.NewSnapshotTracker(),
		inFlight:  limit.NewSemaphore(o.settings.MaxRequests),
		tasks:     &tasks{},
		meter:     metric.New(),
		table:     member.NewTable(selfMember(o.settings)),
	}
	h.inForce.Store(&o.settings)
	h.directory = &directory{
		routes: h.routes,
	}
	h.directory.recordViewChange()
	h.budgets = newBudgets(config.DefaultFleet().Budgets)
	h.picker = route.NewPicker(route.Policy(h.settings.Policy), h.settings.DataCentre, h.budgets.cross, h.journal)
	h.store = store.New(h.settings.StoreAddress, h.dialStoreOrHostList)
	h.hostList = hosts.New(h.settings.HostsAddress, h.dialStoreOrHostList)
	h.peers = peer.NewClient(h.table, h.config, h.network.Dial, peerTLS)
	h.servers = server.NewGroup(h.directory, dialer.New(h.network.Dial), h.timer, h.journal)
	h.links = peer.NewLinks(h.peers, h.settings.ID, h.servers)
	h.syncer = syncer.New(h.config, h.table, h.peers, h.configStore(), h.timer, h.journal)
	h.peers.SetSyncer(h.syncer)
	h.detector = member.NewDetector(h.table, h.peers, h.timer, h.syncer.RefreshAfterPause)
	h.ledger = ledger.New(h.store, h.journal)
	h.rebuildRoutes()
	h.buildFrontend()
	peerOptions := peer.Options{
		Client:        h.peers,
		Executor:      h.servers,
		RequestRunner: h.gatherer,
		Answerer:      h.shell,
		Timer:         h.timer,
	}
	if h.settings.Platform.On() {
		h.gateway = newGateway(h)
		peerOptions.Feeder, peerOptions.Relay = h.gateway.watcher, h.gateway.relay
		if h.gateway.launch != nil {
			peerOptions.Launcher = h.gateway.launch
		}
		if h.gateway.quota != nil {
			peerOptions.Divider = h.gateway.quota
		}
	}
	h.peerRPC = peer.NewService(peerOptions)
	return h, nil
}

// buildFrontend builds the request path and the listeners of callers and operators, and registers the gauges.
func (h *Host) buildFrontend() {
	h.gatherer = gather.New(gather.Options{
		Self:        h.table.Self(),
		Routes:      h.routes,
		Picker:      h.picker,
		Snapshots:   h.snapshots,
		Sender:      h.links,
		Forwarder:   h.peers,
		Ledger:      h.ledger,
		Journal:     h.journal,
		InFlight:    h.inFlight,
		HedgeBudget: h.budgets.hedge,
		RetryBudget: h.budgets.retry,
		Policy:      route.Policy(h.settings.Policy),
		Meter:       h.meter,
		Tasks:       h.tasks,
	})
	h.shell = shell.New(shell.Options{
		Self:    h.table.Self(),
		Runner:  runner{host: h},
		Asker:   h.peers,
		Servers: h.servers,
		Store:   h.store,
		Config:  h.config,
		Routes:  h.routes,
		Journal: h.journal,
		NewID:   query.NewID,
	})
	h.callers = caller.New(caller.Options{
		Runner:     runner{host: h},
		Ready:      h,
		Limit:      h.plan.Own,
		CountEvent: h.meter.CountEvent,
		Log:        h.log.Named("guard"),
	})
	h.admin = admin.New(admin.Options{
		Executor:   h.shell,
		Metrics:    h.meter.Handler(),
		Limit:      h.plan.Operators,
		CountEvent: h.meter.CountEvent,
		Log:        h.log.Named("guard"),
	})
	h.meter.RegisterGauge("magnoliaworks_requests_in_progress", "Requests of callers in progress.",
		func() float64 { return float64(h.inFlight.InUse()) })
	h.meter.RegisterGauge("magnoliaworks_live_hosts", "Hosts that take work, as this host sees them.",
		func() float64 { return float64(len(h.table.View().Available())) })
	h.meter.RegisterGauge("magnoliaworks_homed_servers", "Backend servers that this host gives work to.",
		func() float64 { return float64(len(h.routes.Load().HomeServers())) })
}

// Run serves until ctx ends, and then leaves the fleet after all accepted requests are answered, at the latest after the
// StopLimit of the settings. It returns the error of a component that failed, or of the shutdown.
func (h *Host) Run(ctx context.Context) error {
	listeners, err := h.listen()
	if err != nil {
		return err
	}
	return h.serve(ctx, listeners)
}

// Request runs a request as for a caller. The error is a query.Refusal: query.NotRun while the host may not rely on its
// configuration.
func (h *Host) Request(ctx context.Context, req query.Request) (query.Answer, error) {
	if reason, ok := h.syncer.Usable(); !ok {
		return query.Answer{}, query.NotRun{
			Reason:     reason,
			RetryAfter: time.Second,
		}
	}
	return h.gatherer.Run(ctx, req)
}

// Ready implements caller.Readiness.
func (h *Host) Ready() (reason string, ok bool) {
	if h.leaving.Load() {
		return "the host is leaving", false
	}
	fleet := h.config.State().Fleet()
	places := []config.Place{
		{
			Type: config.DataCentrePlace,
			Name: h.settings.DataCentre,
		},
		{
			Type: config.HostPlace,
			Name: h.settings.ID,
		},
	}
	for _, p := range places {
		if fleet.IsOutOfService(p) {
			return string(p.Type) + " " + p.Name + " is taken out of service", false
		}
	}
	if reason, ok := h.syncer.Usable(); !ok {
		return reason, false
	}
	return h.gatherer.Ready()
}

// Versions returns the versions of the configuration in force.
func (h *Host) Versions() []config.ScopeVersion { return h.config.State().Versions() }

// View returns the host's view of the fleet's members.
func (h *Host) View() member.View { return h.table.View() }

// Events returns the decisions about a subject that the journal still holds; an empty subject selects all.
func (h *Host) Events(subject string) []trace.Event { return h.journal.Events(subject) }

// Command runs an operator's command and returns its output.
func (h *Host) Command(ctx context.Context, origin shell.Origin, text string) (shell.Output, error) {
	return h.shell.Run(ctx, origin, text)
}

// dialStoreOrHostList opens a connection to the store or to the platform's list of hosts.
func (h *Host) dialStoreOrHostList(address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := h.network.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return head.NewConn(conn), nil
}

// dialTimeout is the timeout of dialStoreOrHostList.
const dialTimeout = time.Second

func selfMember(s setup.Settings) member.Member {
	return member.Member{
		ID:              s.ID,
		Address:         s.PeerAddress,
		OperatorAddress: s.OperatorAddress,
		DataCentre:      s.DataCentre,
		Incarnation:     uint64(time.Now().UnixMilli()),
		State:           member.Alive,
	}
}
