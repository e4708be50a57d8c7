package magnoliaworks

import (
	"context"
	"crypto/tls"
	stderrors "errors"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/member"
	"magnoliaworks/core/route"
	"magnoliaworks/core/timer"
	"magnoliaworks/io/guard"
)

const (
	// joinTimeout bounds one attempt, and the pings with which a leaving host announces its state.
	joinTimeout = time.Second
	// idleBeforeStop is the time without work after which a leaving host stops serving its peers.
	idleBeforeStop = 300 * time.Millisecond
	// idleCheckPeriod is the time between two checks for work in progress.
	idleCheckPeriod = 50 * time.Millisecond
	// readHeaderTimeout bounds the arrival of the headers of a peer's request.
	readHeaderTimeout = 5 * time.Second
	// peerReceiveBuffer bounds what is buffered of a connection from another host before it is read, in bytes.
	peerReceiveBuffer = 128 << 10
)

// listeners are the open listeners of a host; peerTLS is nil for plain TCP among hosts.
type listeners struct {
	callers   net.Listener
	operators net.Listener
	peers     net.Listener
	peerTLS   *tls.Config
}

func (h *Host) listen() (listeners, error) {
	operatorTLS, err := serverTLS(h.settings.OperatorTLS)
	if err != nil {
		return listeners{}, err
	}
	peerTLS, err := serverTLS(h.settings.PeerTLS)
	if err != nil {
		return listeners{}, err
	}
	callers, err := h.network.Listen(h.settings.CallerAddress)
	if err != nil {
		return listeners{}, errors.Wrap(err, "listen for callers")
	}
	operators, err := h.network.Listen(h.settings.OperatorAddress)
	if err != nil {
		_ = callers.Close()
		return listeners{}, errors.Wrap(err, "listen for operators")
	}
	peers, err := h.network.Listen(h.settings.PeerAddress)
	if err != nil {
		_ = callers.Close()
		_ = operators.Close()
		return listeners{}, errors.Wrap(err, "listen for peers")
	}
	return listeners{
		callers:   callers,
		operators: wrapTLS(operators, operatorTLS),
		peers:     peers,
		peerTLS:   peerTLS,
	}, nil
}

// serve runs all components until ctx ends or one fails. Their context runCtx outlives
// ctx until the host has left the fleet, and ends earlier only if a component fails.
func (h *Host) serve(ctx context.Context, l listeners) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, runCtx := errgroup.WithContext(runCtx)
	group.Go(func() error { return h.timer.Run(runCtx) })
	group.Go(func() error { return h.followChanges(runCtx) })
	group.Go(func() error { return h.servers.Run(runCtx) })
	group.Go(func() error { return h.links.Run(runCtx) })
	group.Go(func() error { return h.ledger.Run(runCtx) })
	group.Go(func() error { return h.detector.Run(runCtx) })
	group.Go(func() error { return h.syncer.Run(runCtx) })
	group.Go(func() error { return h.join(runCtx) })
	door := h.newPeerDoor()
	l.peers = door.Listener(l.peers)
	peerServer := newPeerServer(door, h.peerRPC, l.peerTLS)
	group.Go(func() error { return servePeers(peerServer, l) })
	group.Go(func() error { return h.admin.Serve(runCtx, l.operators) })
	group.Go(func() error { return h.callers.Serve(runCtx, l.callers) })
	if h.gateway != nil {
		if err := h.gateway.start(runCtx, group); err != nil {
			return err
		}
	}
	h.log.Named("host").Info("serving", "id", h.settings.ID, "callers", h.settings.CallerAddress)
	select {
	case <-ctx.Done():
	case <-runCtx.Done():
	}
	err := h.leave(runCtx, peerServer)
	stop()
	h.peers.Close()
	if waitErr := group.Wait(); waitErr != nil {
		return waitErr
	}
	return err
}

// newPeerDoor returns the guard of the listener for other hosts.
func (h *Host) newPeerDoor() *guard.Door {
	return guard.New(guard.Options{
		Name:       "peers",
		Limit:      h.plan.Peers,
		CountEvent: h.meter.CountEvent,
		Log:        h.log.Named("guard"),
	})
}

func newPeerServer(door *guard.Door, handler http.Handler, c *tls.Config) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(c != nil)
	protocols.SetUnencryptedHTTP2(c == nil)
	return &http.Server{
		Handler:           door.Handler(handler),
		Protocols:         protocols,
		TLSConfig:         c,
		ReadHeaderTimeout: readHeaderTimeout,
		ConnState:         door.ConnState,
		ErrorLog:          door.StandardLogger(),
		HTTP2: &http.HTTP2Config{
			MaxReceiveBufferPerConnection: peerReceiveBuffer,
			MaxReceiveBufferPerStream:     peerReceiveBuffer,
		},
	}
}

func servePeers(s *http.Server, l listeners) error {
	var err error
	if l.peerTLS == nil {
		err = s.Serve(l.peers)
	} else {
		err = s.ServeTLS(l.peers, "", "")
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve peers")
}

// leave announces that the host leaves, finishes all accepted work and closes the listeners, within the stop limit.
func (h *Host) leave(runCtx context.Context, peerServer *http.Server) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(runCtx), h.settings.StopLimit)
	defer cancel()
	log := h.log.Named("host")
	log.Info("leaving: no new work is taken")
	h.leaving.Store(true)
	h.callers.DisableKeepAlives()
	if h.gateway != nil {
		h.gateway.listener.DisableKeepAlives()
	}
	h.table.SetSelfState(member.Leaving)
	h.pingAll(ctx)
	_ = timer.Sleep(ctx, h.settings.LeaveWait)
	err := h.callers.Shutdown(ctx)
	if h.gateway != nil {
		err = stderrors.Join(err, h.gateway.stop(ctx))
	}
	err = stderrors.Join(err, h.waitIdle(ctx))
	h.table.SetSelfState(member.Left)
	h.pingAll(ctx)
	err = stderrors.Join(err, h.admin.Shutdown(ctx))
	_ = peerServer.Close()
	log.Info("left")
	return err
}

// pingAll pings every other available host, so that each learns this host's state at once.
func (h *Host) pingAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	group := new(errgroup.Group)
	for _, m := range h.table.View().Available() {
		if m.ID == h.settings.ID {
			continue
		}
		group.Go(func() error {
			_ = h.peers.Ping(ctx, m)
			return nil
		})
	}
	_ = group.Wait()
}

// waitIdle waits until no work has been in progress for idleBeforeStop. Work is non-idempotent requests, jobs for backend servers, of
// which some come from peers, and messages in the relay. It returns an error if work is in progress when ctx ends.
func (h *Host) waitIdle(ctx context.Context) error {
	ticks := h.timer.Subscribe(ctx, idleCheckPeriod)
	lastBusy := time.Now()
	for time.Since(lastBusy) < idleBeforeStop {
		busy := h.busy()
		if busy {
			lastBusy = time.Now()
		}
		select {
		case <-ctx.Done():
			if h.busy() {
				return errors.Wrap(ctx.Err(), "wait for requests and jobs in progress")
			}
			return nil
		case <-ticks:
		}
	}
	return nil
}

// busy reports whether work is in progress.
func (h *Host) busy() bool {
	return h.tasks.running() > 0 || h.servers.Busy() || (h.gateway != nil && h.gateway.relay.Busy())
}

// followChanges rebuilds the routing table whenever the configuration or the view changes.
func (h *Host) followChanges(ctx context.Context) error {
	lastDigest := uint64(0)
	for {
		configChanged, viewChanged := h.config.Changed(), h.table.Changed()
		if digest := h.table.View().Digest(); digest != lastDigest {
			lastDigest = digest
			h.directory.recordViewChange()
		}
		h.rebuildRoutes()
		h.servers.Reconcile()
		select {
		case <-ctx.Done():
			return nil
		case <-configChanged:
		case <-viewChanged:
		}
	}
}

// rebuildRoutes builds the routing table from the current configuration and view. It also updates the shares of the
// budgets and drops the state of servers and peers that are no longer known.
func (h *Host) rebuildRoutes() {
	state := h.config.State()
	table := route.NewTable(state, h.table.View(), h.table.Self())
	h.routes.Store(table)
	b := state.Fleet().Budgets
	h.budgets.hedge.SetShare(b.Hedge)
	h.budgets.retry.SetShare(b.Retry)
	h.budgets.cross.SetShare(b.Cross)
	inTable := func(id string) bool {
		_, ok := table.Find(id)
		return ok
	}
	h.picker.Retain(inTable)
	h.snapshots.Retain(inTable)
	addresses := make(map[string]bool)
	for _, m := range table.View.Members() {
		addresses[m.Address] = true
	}
	h.peers.Retain(func(address string) bool { return addresses[address] })
}
