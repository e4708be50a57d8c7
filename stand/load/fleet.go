package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"magnoliaworks"
	"magnoliaworks/core/setup"
	"magnoliaworks/core/timer"
	"magnoliaworks/io/hosts"
	"magnoliaworks/stand"
)

const (
	// leaveWait is the time for which a leaving host still accepts callers after its announcement.
	leaveWait = time.Second
	// readyTimeout bounds the start of a fleet.
	readyTimeout = 20 * time.Second
	// readyPollInterval is the time between two checks whether a fleet is ready.
	readyPollInterval = 20 * time.Millisecond
)

// Fleet is a set of hosts that run in this process.
type Fleet struct {
	platform *stand.Platform
	policy   string
	log      hclog.Logger
	settings []setup.Settings

	mu    sync.Mutex
	hosts []*member
	ctx   context.Context
	tasks errgroup.Group
}

// member is one running host of a fleet; a restart creates a new member.
// done is closed when the host has stopped, and leaving is set from the start of a graceful restart.
type member struct {
	settings setup.Settings
	host     *magnoliaworks.Host
	stop     context.CancelFunc
	done     chan struct{}
	leaving  bool
}

// NewFleet starts n hosts, spread over the data centres, and waits until all are ready and see each other as available.
// policy is the replica choice of all hosts. It fails if that takes longer than readyTimeout.
func NewFleet(ctx context.Context, p *stand.Platform, n int, policy string, log hclog.Logger) (*Fleet, error) {
	f := &Fleet{
		platform: p,
		policy:   policy,
		log:      log,
		ctx:      ctx,
		hosts:    make([]*member, n),
	}
	for i := range n {
		s, err := f.newSettings(i)
		if err != nil {
			return nil, err
		}
		f.settings = append(f.settings, s)
	}
	f.publishHostList()
	for i := range n {
		if err := f.start(i); err != nil {
			return nil, err
		}
	}
	return f, f.waitReady(ctx)
}

func (f *Fleet) newSettings(i int) (setup.Settings, error) {
	s := setup.Default()
	s.ID = fmt.Sprintf("host-%d", i+1)
	s.DataCentre = f.platform.Deployment.DataCentres[i%len(f.platform.Deployment.DataCentres)]
	s.StoreAddress = f.platform.StoreAddress
	s.HostsAddress = f.platform.StoreAddress
	s.Policy = f.policy
	s.LeaveWait = leaveWait
	for _, address := range []*string{&s.CallerAddress, &s.OperatorAddress, &s.PeerAddress} {
		free, err := f.platform.Network.Address(s.DataCentre, s.ID)
		if err != nil {
			return setup.Settings{}, err
		}
		*address = free
	}
	return s, nil
}

func (f *Fleet) publishHostList() {
	list := make([]hosts.Host, len(f.settings))
	for i, s := range f.settings {
		list[i] = hosts.Host{
			ID:         s.ID,
			Address:    s.PeerAddress,
			DataCentre: s.DataCentre,
			State:      hosts.Live,
		}
	}
	f.platform.SetHosts(list)
}

// start starts the i-th host and makes it the member at i.
func (f *Fleet) start(i int) error {
	s := f.settings[i]
	host, err := magnoliaworks.New(
		magnoliaworks.WithSettings(s),
		magnoliaworks.WithNetwork(f.platform.Network.Endpoint(s.DataCentre, s.ID)),
		magnoliaworks.WithLogger(f.log.Named(s.ID)),
	)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(f.ctx)
	m := &member{
		settings: s,
		host:     host,
		stop:     stop,
		done:     make(chan struct{}),
	}
	f.mu.Lock()
	f.hosts[i] = m
	f.mu.Unlock()
	f.tasks.Go(func() error {
		defer close(m.done)
		return host.Run(ctx)
	})
	return nil
}

// waitReady waits until every host is ready and sees all others as available.
func (f *Fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !f.allReady() {
		if err := timer.Sleep(ctx, readyPollInterval); err != nil {
			return errors.Errorf("hosts are not ready after %s", readyTimeout)
		}
	}
	return nil
}

func (f *Fleet) allReady() bool {
	for _, m := range f.members() {
		if _, ok := m.host.Ready(); !ok || len(m.host.View().Available()) < len(f.settings) {
			return false
		}
	}
	return true
}

// members returns the hosts that run at present.
func (f *Fleet) members() []*member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*member(nil), f.hosts...)
}

// Restart stops the i-th host gracefully and starts it again with the same settings.
func (f *Fleet) Restart(i int) error {
	m := f.members()[i]
	f.mu.Lock()
	m.leaving = true
	f.mu.Unlock()
	m.stop()
	<-m.done
	return f.start(i)
}

// Host returns the i-th host.
func (f *Fleet) Host(i int) *magnoliaworks.Host { return f.members()[i].host }

// Settings returns the settings of the i-th host.
func (f *Fleet) Settings(i int) setup.Settings { return f.settings[i] }

// Stop stops all hosts gracefully and returns the first error of a host.
func (f *Fleet) Stop() error {
	for _, m := range f.members() {
		if m != nil {
			m.stop()
		}
	}
	return f.tasks.Wait()
}
