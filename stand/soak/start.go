package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"magnoliaworks/stand"
	"magnoliaworks/stand/site"
)

// startAll starts the stand-ins, the proxies in front of them, and the host processes.
// The routes are one over a shard set, one idempotent and one non-idempotent to a single service, and one to a service that changes.
func (s *soak) startAll() error {
	var err error
	if s.site, err = site.NewTCP(); err != nil {
		return err
	}
	s.site.Store.ObserveConfig(func(spec []byte) {
		if err := s.routings.record(spec); err != nil {
			s.addViolation("soak", "", err.Error())
		}
	})
	s.shardSets = [][]string{{"sh-a", "sh-b", "sh-c", "sh-d"}, {"sh-e", "sh-f", "sh-g", "sh-h", "sh-i"}}
	for _, set := range s.shardSets {
		for _, name := range set {
			if err := s.addService(name, 3, 8*time.Millisecond); err != nil {
				return err
			}
		}
	}
	if err := s.addService("desk", 6, 20*time.Millisecond); err != nil {
		return err
	}
	if s.config.Seed%2 == 0 {
		s.site.Exposure = site.Exposure{
			Share: 0.1,
			Slack: 50,
		}
		if err := s.addVersion(rolloutService, 6, 20*time.Millisecond); err != nil {
			return err
		}
	}
	for _, name := range movingServices {
		if err := s.addService(name, 3, 10*time.Millisecond); err != nil {
			return err
		}
	}
	s.setStaleReads()
	s.site.ChangeConfig(func(c *site.Config) {
		if s.namesAccounts() {
			c.Accounts = accounts(true)
		}
		c.Limits = limits()
		c.Routes = []site.Route{
			{
				Name: "search", Host: searchHost, Prefix: "/", Type: "idempotent", TimeoutMS: 1000, ObjectiveMS: 100,
				MaxAttempts: 2, Shards: s.shardSets[0], TopK: topK, MinCoverage: 0.75,
			},
			{Name: "one", Host: oneHost, Prefix: "/", Type: "idempotent", TimeoutMS: 2000, ObjectiveMS: 300, MaxAttempts: 2, Service: "desk"},
			{Name: "once", Host: onceHost, Prefix: "/", Type: "non_idempotent", TimeoutMS: 2000, ObjectiveMS: 300, MaxAttempts: 2, Service: "desk"},
			{Name: "moving", Host: movingHost, Prefix: "/", Type: "idempotent", TimeoutMS: 1000, ObjectiveMS: 300, MaxAttempts: 2, Service: movingServices[0]},
		}
	})
	if s.storeProxy, err = newProxy(s.site.StoreAddress()); err != nil {
		return err
	}
	return s.startHosts()
}

// movingServices are the services to which the route moving leads in turn.
var movingServices = []string{"pier", "quay"}

// setStaleReads draws how old the data of stale lists is throughout the run, in half of the runs, and which revision they state.
func (s *soak) setStaleReads() {
	random := rand.New(rand.NewPCG(s.config.Seed, 98))
	if random.IntN(2) == 0 {
		s.site.Store.SetStaleReads(time.Duration(random.Int64N(int64(maxStaleAge))), random.IntN(2) == 0)
	}
}

// addService starts the replicas of a service, each behind a proxy whose address it registers.
func (s *soak) addService(name string, replicas int, serviceTime time.Duration) error {
	s.site.ConfigureService(name)
	for i := range replicas {
		id := fmt.Sprintf("%s-%d", name, i)
		if err := s.addServer(name, id, i, serviceTime); err != nil {
			return err
		}
		s.serverIDs = append(s.serverIDs, id)
		s.site.Register(id, "ready", 0)
	}
	return nil
}

// addServer starts the i-th replica of a service behind a proxy, whose address it registers.
func (s *soak) addServer(service, id string, i int, serviceTime time.Duration) error {
	server, err := s.site.NewServer(service, id, site.DataCentres[i%len(site.DataCentres)], serviceTime)
	if err != nil {
		return err
	}
	p, err := newProxy(server.Address())
	if err != nil {
		return err
	}
	s.serverProxies[id] = p
	s.site.Advertise(id, p.address())
	return nil
}

// startHosts starts the host processes; each host knows up to three of the earlier ones as peers.
func (s *soak) startHosts() error {
	peers := []string{}
	for i := range s.config.Hosts {
		settings, err := s.site.Settings(fmt.Sprintf("host-%d", i), site.DataCentres[i%len(site.DataCentres)], peers...)
		if err != nil {
			return err
		}
		for _, address := range []*string{
			&settings.CallerAddress, &settings.OperatorAddress, &settings.PeerAddress,
			&settings.Platform.CallerAddress, &settings.Platform.ReadyAddress,
		} {
			if *address, err = stand.FreeAddress(); err != nil {
				return err
			}
		}
		peers = append(slices.Clone(peers[:min(len(peers), 2)]), settings.PeerAddress)
		h, err := newHost(s.config.Program, s.config.Directory, s.storeProxy.address(), settings)
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
	}
	for _, h := range s.hosts {
		for _, other := range s.hosts {
			h.proxied = append(h.proxied, other.settings.PeerAddress)
		}
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}
