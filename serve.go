package magnoliaworks

import (
	"context"
	"crypto/tls"
	stderrors "errors"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/member"
	"magnoliaworks/core/timer"
)

const (
	// joinPeriod is the time between two attempts to reach the hosts named in the settings and in the platform's list.
	joinPeriod = time.Second
	// joinEarly is that time while a starting host knows no other, for joinRounds attempts.
	joinEarly  = 200 * time.Millisecond
	joinRounds = 10
	// seekEvery is the number of join periods between two looks for hosts while others are known.
	seekEvery = 10
	// seekAtOnce is the number of unknown hosts that one attempt pings.
	seekAtOnce = 3
	// joinTimeout bounds one attempt.
	joinTimeout = time.Second
	// quietTime is the time without work after which a leaving host stops serving its peers.
	quietTime = 300 * time.Millisecond
	// quietPeriod is the time between two looks for work.
	quietPeriod = 50 * time.Millisecond
	// headerTimeout bounds the arrival of the headers of a peer's message.
	headerTimeout = 5 * time.Second
)

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

// serve runs all parts. They live on work, which ends only after the host has left.
func (h *Host) serve(ctx context.Context, l listeners) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	parts, work := errgroup.WithContext(work)
	parts.Go(func() error { return h.timer.Run(work) })
	parts.Go(func() error { return h.follow(work) })
	parts.Go(func() error { return h.servers.Run(work) })
	parts.Go(func() error { return h.links.Run(work) })
	parts.Go(func() error { return h.ledger.Run(work) })
	parts.Go(func() error { return h.detector.Run(work) })
	parts.Go(func() error { return h.syncer.Run(work) })
	parts.Go(func() error { return h.join(work) })
	server := newPeerServer(h.service, l.peerTLS)
	parts.Go(func() error { return servePeers(server, l) })
	parts.Go(func() error { return h.admin.Serve(work, l.operators) })
	parts.Go(func() error { return h.door.Serve(work, l.callers) })
	if h.gateway != nil {
		if err := h.gateway.start(work, parts); err != nil {
			return err
		}
	}
	h.log.Named("host").Info("serving", "id", h.settings.ID, "callers", h.settings.CallerAddress)
	select {
	case <-ctx.Done():
	case <-work.Done():
	}
	err := h.leave(work, server)
	stop()
	h.peers.Close()
	if waitErr := parts.Wait(); waitErr != nil {
		return waitErr
	}
	return err
}

func newPeerServer(handler http.Handler, c *tls.Config) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(c != nil)
	protocols.SetUnencryptedHTTP2(c == nil)
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		TLSConfig:         c,
		ReadHeaderTimeout: headerTimeout,
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

// leave announces the end, finishes all accepted work and closes the listeners.
func (h *Host) leave(work context.Context, server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(work), h.settings.StopLimit)
	defer cancel()
	log := h.log.Named("host")
	log.Info("leaving: no new work is taken")
	h.leaving.Store(true)
	h.door.DisableKeepAlives()
	if h.gateway != nil {
		h.gateway.door.DisableKeepAlives()
	}
	h.table.SetSelfState(member.Leaving)
	h.tellAll(ctx)
	_ = timer.Sleep(ctx, h.settings.LeaveWait)
	err := h.door.Shutdown(ctx)
	if h.gateway != nil {
		err = stderrors.Join(err, h.gateway.stop(ctx))
	}
	h.untilQuiet(ctx)
	h.table.SetSelfState(member.Left)
	h.tellAll(ctx)
	if adminErr := h.admin.Shutdown(ctx); err == nil {
		err = adminErr
	}
	_ = server.Close()
	log.Info("left")
	return err
}

// tellAll pings every other host, so that each learns this host's state at once.
func (h *Host) tellAll(ctx context.Context) {
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

// untilQuiet waits until neither requests that may not be repeated nor work for peers is in progress.
func (h *Host) untilQuiet(ctx context.Context) {
	ticks := h.timer.Subscribe(ctx, quietPeriod)
	last := time.Now()
	for time.Since(last) < quietTime {
		if h.tasks.running() > 0 || h.servers.Busy() || (h.gateway != nil && h.gateway.relay.Busy()) {
			last = time.Now()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
	}
}

// follow derives the routing table anew whenever the configuration or the view changes.
func (h *Host) follow(ctx context.Context) error {
	seen := uint64(0)
	for {
		configured, viewed := h.register.Changed(), h.table.Changed()
		if digest := h.table.View().Digest(); digest != seen {
			seen = digest
			h.known.noteChange()
		}
		h.reroute()
		h.servers.Reconcile()
		select {
		case <-ctx.Done():
			return nil
		case <-configured:
		case <-viewed:
		}
	}
}

// join looks for other hosts: often while this host knows none, and now and then later.
func (h *Host) join(ctx context.Context) error {
	for range joinRounds {
		h.seek(ctx)
		if len(h.table.View().Available()) > 1 || timer.Sleep(ctx, joinEarly) != nil {
			break
		}
	}
	ticks := h.timer.Subscribe(ctx, joinPeriod)
	for round := 1; ; round++ {
		if len(h.table.View().Available()) < 2 || round%seekEvery == 0 {
			h.seek(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		}
	}
}

// seek pings a few of the hosts of the settings and of the platform's list that are not known; gossip brings the others.
func (h *Host) seek(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	group := new(errgroup.Group)
	for _, address := range h.unknownAddresses() {
		group.Go(func() error {
			if err := h.peers.Join(ctx, address); err != nil {
				h.log.Named("member").Debug("host not reached", "address", address, "error", err)
			}
			return nil
		})
	}
	_ = group.Wait()
}

func (h *Host) unknownAddresses() []string {
	known := map[string]bool{h.settings.PeerAddress: true}
	for _, m := range h.table.View().Available() {
		known[m.Address] = true
	}
	candidates := append([]string{}, h.inForce.Load().Peers...)
	if len(known) == 1 && h.settings.HostsAddress != "" {
		candidates = append(candidates, h.listed()...)
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	var unknown []string
	for _, address := range candidates {
		if !known[address] && len(unknown) < seekAtOnce {
			known[address] = true
			unknown = append(unknown, address)
		}
	}
	return unknown
}

// listed returns the peer addresses in the platform's list; the list may lag, so it only hints at hosts.
func (h *Host) listed() []string {
	list, err := h.list.List()
	if err != nil {
		h.log.Named("member").Debug("list of hosts not read", "error", err)
		return nil
	}
	addresses := make([]string, 0, len(list))
	for _, entry := range list {
		addresses = append(addresses, entry.Address)
	}
	return addresses
}
