// Package magnoliaworks is a query tier over many shards: the hosts between callers and the backend servers of a search system.
//
// A Host takes callers' requests, sends sub-requests for each shard to the home hosts of backend servers,
// and answers from one snapshot with the coverage that it really reached. docs/ARCHITECTURE.md shows the whole.
package magnoliaworks

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

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
	"magnoliaworks/io/hosts"
	"magnoliaworks/io/metric"
	"magnoliaworks/io/peer"
	"magnoliaworks/io/store"
)

// Version is the version of the program.
const Version = "0.1.0"

// budgetBurst is the number of extra sub-requests that a budget grants at once.
const budgetBurst = 20

// Host is one member of the fleet.
type Host struct {
	settings setup.Settings
	network  Network
	log      hclog.Logger

	timer     *timer.Service
	journal   *trace.Journal
	table     *member.Table
	register  *config.Register
	routes    *route.CurrentTable
	known     *directory
	picker    *route.Picker
	snapshots *index.SnapshotTracker
	budgets   budgets
	store     *store.Client
	list      *hosts.Client
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
	door      *caller.Listener
	admin     *admin.Listener
	service   http.Handler
	leaving   atomic.Bool
	// inForce holds the settings with what has been reloaded.
	inForce atomic.Pointer[setup.Settings]
	// gateway serves the platform's callers; it is nil elsewhere.
	gateway *gateway
}

type budgets struct {
	hedge *limit.Budget
	retry *limit.Budget
	cross *limit.Budget
}

// New returns a host that does nothing until Run is called. It returns an error when TLS files are unusable.
func New(opts ...Option) (*Host, error) {
	o := options{
		settings: setup.Default(),
		network:  &tcp{},
		log:      hclog.NewNullLogger(),
	}
	for _, opt := range opts {
		opt(&o)
	}
	peerTLS, err := clientTLS(o.settings.PeerTLS)
	if err != nil {
		return nil, err
	}
	h := &Host{
		settings:  o.settings,
		network:   o.network,
		log:       o.log,
		timer:     timer.New(),
		journal:   trace.NewJournal(o.log),
		register:  config.NewRegister(),
		routes:    &route.CurrentTable{},
		snapshots: index.NewSnapshotTracker(),
		inFlight:  limit.NewSemaphore(o.settings.MaxRequests),
		tasks:     &tasks{},
		meter:     metric.New(),
		table:     member.NewTable(selfOf(o.settings)),
	}
	h.inForce.Store(&o.settings)
	h.known = &directory{
		routes: h.routes,
	}
	h.known.noteChange()
	h.budgets = newBudgets(config.DefaultFleet().Budgets)
	h.picker = route.NewPicker(route.Policy(h.settings.Policy), h.settings.DataCentre, h.budgets.cross, h.journal)
	h.store = store.New(h.settings.StoreAddress, h.dialPlain)
	h.list = hosts.New(h.settings.HostsAddress, h.dialPlain)
	h.peers = peer.NewClient(h.table, h.register, h.network.Dial, peerTLS)
	h.servers = server.NewGroup(h.known, dialer.New(h.network.Dial), h.timer, h.journal)
	h.links = peer.NewLinks(h.peers, h.settings.ID, h.servers)
	h.syncer = syncer.New(h.register, h.table, h.peers, h.configStore(), h.timer, h.journal)
	h.peers.Report(h.syncer)
	h.detector = member.NewDetector(h.table, h.peers, h.timer, h.syncer.RefreshAfterPause)
	h.ledger = ledger.New(h.store, h.journal)
	h.reroute()
	h.assembleEntry()
	parts := peer.Parts{
		Client:   h.peers,
		Worker:   h.servers,
		Writer:   h.gatherer,
		Answerer: h.shell,
	}
	if h.settings.Platform.On() {
		h.gateway = newGateway(h)
		parts.Feeder, parts.Gatherer = h.gateway.watcher, h.gateway.relay
	}
	h.service = peer.NewService(parts)
	return h, nil
}

// assembleEntry builds what callers and operators reach.
func (h *Host) assembleEntry() {
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
	h.shell = shell.New(shell.Parts{
		Self:     h.table.Self(),
		Runner:   runner{host: h},
		Asker:    h.peers,
		Servers:  h.servers,
		Store:    h.store,
		Register: h.register,
		Routes:   h.routes,
		Journal:  h.journal,
		NewID:    query.NewID,
	})
	h.door = caller.New(runner{host: h}, h)
	h.admin = admin.New(h.shell, h.meter.Handler())
	h.meter.Gauge("magnoliaworks_requests_in_progress", "Requests of callers in progress.",
		func() float64 { return float64(h.inFlight.InUse()) })
	h.meter.Gauge("magnoliaworks_live_hosts", "Hosts that take work, as this host sees them.",
		func() float64 { return float64(len(h.table.View().Available())) })
	h.meter.Gauge("magnoliaworks_homed_servers", "Backend servers that this host gives work to.",
		func() float64 { return float64(len(h.routes.Load().HomeServers())) })
}

// Run serves until ctx ends, and then leaves the fleet without cutting a request.
func (h *Host) Run(ctx context.Context) error {
	listeners, err := h.listen()
	if err != nil {
		return err
	}
	return h.serve(ctx, listeners)
}

// Request runs a request as a caller would, unless the host may not rely on its configuration.
// The error is a query.Refusal.
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
	fleet := h.register.State().Fleet()
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
		if fleet.IsOut(p) {
			return string(p.Type) + " " + p.Name + " is taken out of service", false
		}
	}
	return h.syncer.Usable()
}

// Versions returns the versions of the configuration in force.
func (h *Host) Versions() []config.ScopeVersion { return h.register.State().Versions() }

// View returns what the host knows of the fleet.
func (h *Host) View() member.View { return h.table.View() }

// Events returns the remembered decisions about a subject; an empty subject selects all.
func (h *Host) Events(subject string) []trace.Event { return h.journal.Events(subject) }

// Command runs a command of an operator.
func (h *Host) Command(ctx context.Context, origin shell.Origin, text string) (shell.Output, error) {
	return h.shell.Run(ctx, origin, text)
}

// dialPlain opens a connection to the platform.
func (h *Host) dialPlain(address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	return h.network.Dial(ctx, "tcp", address)
}

// dialTimeout bounds the opening of a connection to the platform.
const dialTimeout = time.Second

// reroute derives the routing table anew from the present configuration and view.
func (h *Host) reroute() {
	state := h.register.State()
	table := route.NewTable(state, h.table.View(), h.table.Self())
	h.routes.Store(table)
	b := state.Fleet().Budgets
	h.budgets.hedge.SetShare(b.Hedge)
	h.budgets.retry.SetShare(b.Retry)
	h.budgets.cross.SetShare(b.Cross)
	known := func(id string) bool {
		_, ok := table.Find(id)
		return ok
	}
	h.picker.Retain(known)
	h.snapshots.Retain(known)
	addresses := make(map[string]bool)
	for _, m := range table.View.Members() {
		addresses[m.Address] = true
	}
	h.peers.Forget(func(address string) bool { return addresses[address] })
}

func selfOf(s setup.Settings) member.Member {
	return member.Member{
		ID:              s.ID,
		Address:         s.PeerAddress,
		OperatorAddress: s.OperatorAddress,
		DataCentre:      s.DataCentre,
		Incarnation:     uint64(time.Now().UnixMilli()),
		State:           member.Alive,
	}
}

func newBudgets(b config.Budgets) budgets {
	return budgets{
		hedge: limit.NewBudget(b.Hedge, budgetBurst),
		retry: limit.NewBudget(b.Retry, budgetBurst),
		cross: limit.NewBudget(b.Cross, budgetBurst),
	}
}
